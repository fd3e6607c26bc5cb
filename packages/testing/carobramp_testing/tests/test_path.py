"""The whole path with real processes."""

import unittest

from carobramp_testing.builders import job_request
from carobramp_testing.processes import HTTP_OK, ZONES, Deployment


class PathTests(unittest.IsolatedAsyncioTestCase):
    """A job is served end to end through each entry VM."""

    async def test_job_through_each_entry_vm(self):
        """Guards against an entry VM that does not serve."""
        async with Deployment(zones=ZONES, vms_per_zone=1) as deployment:
            for vm in deployment.vms:
                with self.subTest(vm=vm):
                    status, body = await deployment.submit(vm, job_request(tasks=3))
                    self.assertEqual(status, HTTP_OK, body)
                    ids = [result["task_id"] for result in body["results"]]
                    key = body["submission_id"]
                    self.assertEqual(ids, [f"{key}:{n}" for n in range(3)])
            starts = await deployment.starts()
        self.assertEqual(set(starts.values()), {1})
        self.assertEqual(len(starts), 3 * len(ZONES))


if __name__ == "__main__":
    unittest.main()
