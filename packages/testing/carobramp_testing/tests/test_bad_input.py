"""Malformed input to a real entry VM; after each the VM must still serve."""

import asyncio
import json
import unittest

from carobramp_schema import encode
from carobramp_schema.generated.ticket import (
    ServiceChange,
    Ticket,
    UpstreamChange,
    UpstreamState,
)
from carobramp_testing.builders import job_request, service_state
from carobramp_testing.exposition import read_samples
from carobramp_testing.processes import HTTP_OK
from carobramp_testing.tests.bad_input_case import (
    MAX_BODY_BYTES,
    PREFACE,
    VM,
    BadInputCase,
)

NESTED_DEPTH = 40_000
JOB = json.loads(encode(job_request()))


def with_payload(payload):
    """Return a job with one task, whose payload is given as JSON."""
    return encode(JOB | {"tasks": [{"payload": "#"}]}).replace(b'"#"', payload)


class RequestTests(BadInputCase):
    """Requests of callers and operators."""

    async def check_refused(self, name, status, reason, method, path, **request):
        """Send a request and compare the problem details."""
        url = self.deployment.url(VM) + path
        with self.subTest(name=name):
            async with self.deployment.session.request(
                method, url, **request
            ) as response:
                body = await response.json(content_type="application/problem+json")
            seen = (response.status, body["status"], body["reason"])
            self.assertEqual(seen, (status, status, reason), body)
            await self.check_serves()
            return body

    async def test_jobs(self):
        """Guards against malformed jobs that run, or end in a status without reason."""
        task = JOB["tasks"][0]
        bodies = {
            "empty": b"",
            "truncated": encode(JOB)[:-1],
            "trailing bytes": encode(JOB) + b"x",
            "list": [],
            "null": None,
            "bad UTF-8": encode(JOB).replace(b"bakery", b"bak\xffry"),
            "bad UTF-8 in a payload": encode(
                JOB | {"tasks": [{"payload": "#"}]}
            ).replace(b"#", b"\xff"),
            "NaN": encode(JOB).replace(b'"deadline_ms":5000', b'"deadline_ms":NaN'),
            "number out of range": encode(JOB).replace(b"5000", b"1e999"),
            "no tasks": JOB | {"tasks": []},
            "391 tasks": JOB | {"tasks": [task] * 391},
            "tasks of a wrong type": JOB | {"tasks": {"0": task}},
            "a task of a wrong type": JOB | {"tasks": [task, 3]},
            "negative run time": JOB | {"tasks": [task | {"run_ms": -1}]},
            "text for a number": JOB | {"deadline_ms": "5000"},
            "fraction for an integer": JOB | {"deadline_ms": 0.5},
            "truth value for an integer": JOB | {"deadline_ms": True},
            "deadline of zero": JOB | {"deadline_ms": 0},
            "deadline of a day": JOB | {"deadline_ms": 86_400_000},
            "long name": JOB | {"service": "s" * 65},
            "empty name": JOB | {"team": ""},
            "unknown field": JOB | {"dedline_ms": 3},
            "missing field": {k: v for k, v in JOB.items() if k != "team"},
            "deep nesting": b'{"service":' + b"[" * NESTED_DEPTH,
            "deep payload": with_payload(b"[" * 10_000 + b"]" * 10_000),
        }
        for name, body in bodies.items():
            data = body if isinstance(body, bytes) else encode(body)
            problem = await self.check_refused(
                name, 400, "malformed_request", "POST", "/v1/jobs", data=data
            )
            if problem is not None:
                self.assertTrue(problem["not_run"], name)
                self.assertTrue(problem["field"] and problem["expected"], problem)

    async def test_nesting_around_the_limit_of_the_decoder(self):
        """Guards against a payload that is accepted and cannot be sent on."""
        for depth in range(900, 1010, 4):
            data = with_payload(b"[" * depth + b"]" * depth)
            url = f"{self.deployment.url(VM)}/v1/jobs"
            with self.subTest(depth=depth):
                async with self.deployment.session.post(url, data=data) as response:
                    body = await response.json(content_type=None)
                if response.status != HTTP_OK:
                    self.assertEqual(body["reason"], "malformed_request")
        await self.check_serves()

    async def test_other_requests(self):
        """Guards against errors of the HTTP layer that are not problem details."""
        large = b" " * (MAX_BODY_BYTES + 1)
        malformed, too_large = "malformed_request", "body_too_large"
        cases = (
            ("large job", 413, too_large, "POST", "/v1/jobs", {"data": large}),
            ("chunks", 413, too_large, "POST", "/v1/jobs", {"data": chunks(large)}),
            ("unknown path", 404, malformed, "GET", "/v2/jobs", {}),
            ("root", 404, malformed, "GET", "/", {}),
            ("bad method", 405, malformed, "PATCH", "/v1/jobs", {}),
            (
                "ids as a list",
                400,
                malformed,
                "POST",
                "/v1/submission-ids",
                {"json": []},
            ),
            (
                "too many ids",
                400,
                malformed,
                "POST",
                "/v1/submission-ids",
                {"json": {"count": 1025}},
            ),
        )
        for name, status, reason, method, path, request in cases:
            await self.check_refused(name, status, reason, method, path, **request)

    async def test_tickets(self):
        """Guards against malformed tickets that are accepted or stop the VM."""
        good = {"number": 2, "author": "anna"}
        text_state = {"name": "tilburg", "based_on": 0, "state": {"evacuated": "yes"}}
        bodies = {
            "empty": b"",
            "list": [],
            "bad UTF-8": b'{"number": 2, "author": "\xff"}',
            "deep nesting": b'{"number":' + b"[" * NESTED_DEPTH,
            "NaN": b'{"number": NaN, "author": "anna"}',
            "no author": {"number": 2},
            "number as text": good | {"number": "2"},
            "number zero": good | {"number": 0},
            "unknown field": good | {"autor": "x"},
            "unknown list": good | {"zones": []},
            "change without a state": good | {"teams": [{"name": "a", "based_on": 0}]},
            "state of a wrong type": good
            | {"teams": [{"name": "a", "based_on": 0, "state": 3}]},
            "quota of zero": good
            | {"teams": [{"name": "a", "based_on": 0, "state": {"quota_slots": 0}}]},
            "zone without a name": good
            | {"availability_zones": [{"name": "", "based_on": 0, "state": None}]},
            "zone evacuated by text": good | {"availability_zones": [text_state]},
        }
        for name, body in bodies.items():
            data = body if isinstance(body, bytes) else encode(body)
            for query in ("", "?check=1"):
                await self.check_refused(
                    name,
                    422,
                    "ticket_invalid",
                    "PUT",
                    f"/v1/tickets/2{query}",
                    data=data,
                )
        status = await self.deployment.get_json(f"{self.deployment.url(VM)}/v1/status")
        self.assertEqual(status["state_number"], 1)

    async def test_input_below_http(self):
        """Guards against raw input that ends the process or holds its connections."""
        _, port = self.deployment.vms[VM].addresses[0]
        body = encode(JOB)
        head = "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        inputs = {
            "garbage": b"\x00\xff\xfe\x16\x03\x01" * 100,
            "no request line": b"\r\n\r\n\r\n\r\n",
            "HTTP/2 preface": PREFACE,
            "large header": f"{head}X: {'x' * 100_000}\r\n\r\n".encode(),
            "many headers": (head + "X: y\r\n" * 10_000 + "\r\n").encode(),
            "long path": b"GET /" + b"a" * 100_000 + b" HTTP/1.1\r\n\r\n",
            "two lengths": (
                f"{head}Content-Length: 1\r\nContent-Length: 2\r\n\r\n".encode()
            ),
            "negative length": f"{head}Content-Length: -1\r\n\r\n".encode(),
            "length of no number": f"{head}Content-Length: ten\r\n\r\n".encode(),
            "body shorter than its length": (
                f"{head}Content-Length: {len(body) + 9}\r\n\r\n".encode() + body
            ),
            "body longer than its length": (
                f"{head}Content-Length: {len(body) - 9}\r\n\r\n".encode() + body
            ),
            "malformed chunks": (
                f"{head}Transfer-Encoding: chunked\r\n\r\nzz\r\n".encode()
            ),
            "unfinished head": b"POST /v1/jobs HTTP/1.1\r\nHost: a",
            "gzip that is none": (
                f"{head}Content-Encoding: gzip\r\n".encode()
                + b"Content-Length: 4\r\n\r\nabcd"
            ),
            "bad UTF-8 in the path": b"GET /\xff\xfe HTTP/1.1\r\nHost: a\r\n\r\n",
            "id that is not ASCII": (
                f"{head}Idempotency-Key: \xff\xfe\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode("latin-1")
            + body,
        }
        for name, data in inputs.items():
            with self.subTest(name=name):
                reply = await self.send_raw(port, data)
                self.assertNotIn(b" 200 ", reply.split(b"\r\n")[0])
                self.assertNotIn(b" 500 ", reply.split(b"\r\n")[0])
                await self.check_serves()

    async def test_bad_input_is_counted(self):
        """Guards against refusals that leave no trace in the metrics."""
        url = self.deployment.url(VM)
        async with self.deployment.session.post(f"{url}/v1/jobs", data=b"") as response:
            await response.read()
        async with self.deployment.session.get(f"{url}/metrics") as response:
            refusals = read_samples(await response.text())["carobramp_refusals"]
        self.assertEqual(refusals["malformed_request"], 1)


async def chunks(data):
    """Yield data in pieces, for a request without a length."""
    for start in range(0, len(data), 1000):
        yield data[start : start + 1000]


class UpstreamAnswerTests(BadInputCase):
    """Answers of an upstream that breaks the protocol."""

    async def asyncSetUp(self):
        """Add a service whose only upstream answers with given bytes."""
        await super().asyncSetUp()
        self.reply = b""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        guard = {"enabled": False}
        service = json.loads(encode(service_state())) | {"guard": guard}
        state = UpstreamState("odd", "127.0.0.1", port, "tilburg", "r", 8)
        ticket = Ticket(
            2,
            "operator",
            services=[ServiceChange("odd", 0, service)],
            upstreams=[UpstreamChange("odd-1", 0, state)],
        )
        status, body = await self.deployment.put_ticket(VM, ticket)
        self.assertEqual(status, HTTP_OK, body)

    async def serve(self, reader, writer):
        """Answer one request and close the connection."""
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        task_id = json.loads(await reader.readexactly(length))["task_id"]
        writer.write(self.reply.replace(b"TASK", task_id.encode()))
        writer.close()

    def http(self, body, head="HTTP/1.1 200 OK"):
        """Return the bytes of an HTTP response that ends with its connection."""
        return f"{head}\r\nConnection: close\r\n\r\n".encode() + body

    async def submit_odd(self, reply):
        """Submit a job whose task is answered with `reply`."""
        self.reply = reply
        return await self.deployment.submit(VM, job_request(service="odd"))

    async def test_well_formed_answer(self):
        """Guards against a test whose upstream is never understood."""
        answer = b'{"task_id": "TASK", "status": "done", "result": 7}'
        status, body = await self.submit_odd(self.http(answer))
        self.assertEqual((status, body.get("results")), (HTTP_OK, [7]), body)

    async def test_malformed_answers(self):
        """Guards against a task that hangs, is retried or counts as done."""
        done = b'{"task_id": "TASK", "status": "done"'
        refused = b'{"task_id": "TASK", "status": "refused", "error": "busy"}'
        inputs = {
            "nothing": b"",
            "garbage": b"\x00\xff\xfe\r\n\r\n",
            "empty body": self.http(b""),
            "truncated": self.http(done),
            "list": self.http(b"[]"),
            "bad UTF-8": self.http(done + b', "result": "\xff"}'),
            "NaN": self.http(done + b', "run_ms": NaN}'),
            "nested": self.http(done + b', "result": ' + b"[" * 20_000),
            "unknown field": self.http(done + b', "reslt": 1}'),
            "unknown status": self.http(b'{"task_id": "TASK", "status": "ok"}'),
            "text for a number": self.http(done + b', "busy": "1"}'),
            "negative load": self.http(done + b', "busy": -1}'),
            "no task id": self.http(b'{"status": "done"}'),
            "another task": self.http(b'{"task_id": "c1.a:0", "status": "done"}'),
            "large": self.http(done + b', "result": "' + b"x" * 60_000 + b'"}'),
            "refusal with status 200": self.http(refused),
            "status 500": self.http(b"{}", "HTTP/1.1 500 Oops"),
            "redirect": self.http(b"", "HTTP/1.1 307 Go\r\nLocation: /v1/tasks"),
            "bad gzip": self.http(b"{}", "HTTP/1.1 200 OK\r\nContent-Encoding: gzip"),
            "bad chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz",
            "long header": self.http(b"{}", "HTTP/1.1 200 OK\r\nX: " + "x" * 100_000),
            "status of no number": self.http(b"{}", "HTTP/1.1 abc OK"),
        }
        for name, reply in inputs.items():
            with self.subTest(name=name):
                status, body = await self.submit_odd(reply)
                seen = (status, body.get("reason"), body.get("not_run"))
                self.assertEqual(seen, (502, "outcome_unknown", False), body)
                await self.check_serves()

    async def test_result_nested_around_the_limit_of_the_decoder(self):
        """Guards against a result that is accepted and cannot be sent on."""
        for depth in range(900, 1010, 4):
            nested = b"[" * depth + b"]" * depth
            answer = b'{"task_id": "TASK", "status": "done", "result": ' + nested + b"}"
            self.reply = self.http(answer)
            url = f"{self.deployment.url(VM)}/v1/jobs"
            data = encode(job_request(service="odd"))
            with self.subTest(depth=depth):
                async with self.deployment.session.post(url, data=data) as response:
                    body = await response.read()
                if response.status == HTTP_OK:
                    self.assertIn(nested, body)
                else:
                    self.assertEqual(response.status, 502)
                    self.assertIn(b'"outcome_unknown"', body)
        await self.check_serves()


if __name__ == "__main__":
    unittest.main()
