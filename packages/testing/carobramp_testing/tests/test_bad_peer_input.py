"""Malformed input on the port for other entry VMs; the VM must still serve."""

import unittest

from carobramp_schema.generated import peer_pb2
from carobramp_testing.tests.bad_input_case import (
    MAX_PEER_MESSAGE_BYTES,
    PREFACE,
    VM,
    BadInputCase,
)


class PeerPortTests(BadInputCase):
    """Bytes on the port for other entry VMs."""

    async def check_survives(self):
        """Check that the VM serves callers and still understands peers."""
        await self.check_serves()
        _, port = self.deployment.vms[VM].addresses[1]
        reply = await self.send_raw(port, PREFACE + settings_frame())
        self.assertEqual(reply[3:4], b"\x04", reply[:40])

    async def test_garbage(self):
        """Guards against bytes that end the process or its peer server."""
        _, port = self.deployment.vms[VM].addresses[1]
        inputs = {
            "garbage": b"\x00\xff\xfe\x16\x03\x01" * 1000,
            "HTTP/1.1": b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
            "nothing": b"",
            "half a preface": PREFACE[:10],
            "garbage after the preface": PREFACE + b"\xff" * 5000,
            "large frame": PREFACE + b"\xff\xff\xff\x00\x00\x00\x00\x00\x01",
        }
        for name, data in inputs.items():
            with self.subTest(name=name):
                await self.send_raw(port, data)
                await self.check_survives()

    async def test_messages(self):
        """Guards against messages that are oversized, not protobuf or nonsense."""
        host, port = self.deployment.vms[VM].addresses[1]
        large = peer_pb2.ForwardRequest(body=b"x" * (MAX_PEER_MESSAGE_BYTES + 1))
        status = peer_pb2.PeerStatus(vm="\n" * 1000, host="nowhere", peer_port=1 << 30)
        calls = {
            "oversized": ("Forward", large.SerializeToString()),
            "stated size of 4 GiB": ("Forward", None),
            "not protobuf": ("Forward", b"\xff" * 100),
            "empty": ("Forward", b""),
            "foreign id": (
                "Forward",
                peer_pb2.ForwardRequest(submission_id="x").SerializeToString(),
            ),
            "not protobuf as heartbeat": ("Heartbeat", b"\xff" * 100),
            "nonsense as heartbeat": ("Heartbeat", status.SerializeToString()),
            "empty heartbeat": ("Heartbeat", b""),
            "empty cancel": ("Cancel", b""),
            "tickets from far ahead": (
                "FetchTickets",
                peer_pb2.FetchTicketsRequest(after=1 << 62).SerializeToString(),
            ),
            "unknown call": ("Restart", b""),
        }
        for name, (call, data) in calls.items():
            with self.subTest(name=name):
                reply = await self.send_raw(port, call_bytes(call, data))
                if data is None or len(data) < MAX_PEER_MESSAGE_BYTES:
                    self.assertTrue(reply, "the server closed without an answer")
                await self.check_survives()

    async def test_heartbeat_of_a_stranger_changes_no_peer(self):
        """Guards against peers that garbage adds to the view."""
        _, port = self.deployment.vms[VM].addresses[1]
        status = peer_pb2.PeerStatus(vm="", host="nowhere", peer_port=0)
        data = call_bytes("Heartbeat", status.SerializeToString())
        await self.send_raw(port, data)
        body = await self.deployment.get_json(f"{self.deployment.url(VM)}/v1/status")
        self.assertEqual(body["peers"], [])


def frame(kind, flags, stream, payload=b""):
    """Return one HTTP/2 frame."""
    head = len(payload).to_bytes(3, "big") + bytes([kind, flags])
    return head + stream.to_bytes(4, "big") + payload


def settings_frame():
    """Return an empty SETTINGS frame."""
    return frame(4, 0, 0)


def call_bytes(call, data):
    """Return a whole connection with one call; `data` of None states 4 GiB."""
    headers = b"".join(
        b"\x00" + bytes([len(name)]) + name + bytes([len(value)]) + value
        for name, value in (
            (b":method", b"POST"),
            (b":scheme", b"http"),
            (b":path", f"/carobramp.peer.Peer/{call}".encode()),
            (b":authority", b"a"),
            (b"te", b"trailers"),
            (b"content-type", b"application/grpc"),
        )
    )
    if data is None:
        message = b"\x00\xff\xff\xff\xff" + b"x" * 100
    else:
        message = b"\x00" + len(data).to_bytes(4, "big") + data
    pieces = [message[i : i + 16384] for i in range(0, len(message), 16384)]
    body = b"".join(frame(0, 0, 1, piece) for piece in pieces[:-1])
    body += frame(0, 1, 1, pieces[-1])
    return PREFACE + settings_frame() + frame(1, 4, 1, headers) + body


if __name__ == "__main__":
    unittest.main()
