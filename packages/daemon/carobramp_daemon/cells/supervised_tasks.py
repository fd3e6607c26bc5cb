"""Containment of unexpected errors in background tasks of a service."""

import asyncio
import contextlib

from carobramp_daemon.logs import raise_location


@contextlib.contextmanager
def contain_errors(service, activity):
    """Log and count an exception of one activity, so that the service continues.

    A failed assertion is a broken invariant and is raised.

    Parameters
    ==========

    service : service with an `event_log` and `metrics`
    activity : short name, the label of the counter `unexpected_errors`
    """
    try:
        yield
    except AssertionError:
        raise
    except Exception as error:
        service.metrics.increment("unexpected_errors", activity)
        service.event_log.info(
            "unexpected error",
            activity=activity,
            error=repr(error),
            place=raise_location(error),
        )


def spawn(service, coroutine) -> asyncio.Task:
    """Run a coroutine as a task of a service.

    An exception in it is logged and counted under the name of the coroutine. A failed
    assertion crashes the service: nothing awaits these tasks, so that it would go
    unnoticed otherwise.
    """

    async def run():
        with contain_errors(service, coroutine.__name__):
            return await coroutine

    task = asyncio.create_task(run())

    def check(done):
        # A task that is cancelled before its first step never awaits the coroutine.
        coroutine.close()
        if not done.cancelled() and done.exception() is not None:
            service.crashing = asyncio.create_task(service.crash(done.exception()))

    task.add_done_callback(check)
    return task
