"""Builder of the coordinator of a daemon whose store and upstreams are simulated."""

from unittest import mock

from carobramp_core.cells.entry import Entry
from carobramp_core.cells.limits import CellLimits
from carobramp_core.platform import Committed
from carobramp_daemon.cells.coordinator import CellCoordinator
from carobramp_daemon.cells.entry import EntryService
from carobramp_daemon.cells.rows import VmRow
from carobramp_daemon.logs import Log
from carobramp_daemon.metrics import Metrics

CELL = "tilburg"


def coordinator(test, **entry_fields) -> CellCoordinator:
    """Build a coordinator that may claim its cell, and whose store commits each claim.

    Parameters
    ==========

    test : the test case; owner services are neither started nor stopped during it
    entry_fields : arguments of the `Entry`
    """
    entry = Entry(CELL, CellLimits(), **entry_fields)
    table = mock.Mock(is_loaded=lambda: True, rows=dict, transact=mock.AsyncMock())
    table.transact.return_value = Committed()
    built = CellCoordinator(
        VmRow("vm-1", CELL, "127.0.0.1", 7720, 7721, "a"),
        (CELL,),
        table,
        mock.Mock(read_upstreams=mock.AsyncMock(return_value=())),
        mock.Mock(),
        EntryService(entry, Metrics(), Log("entry", "vm-1")),
        CellLimits(),
        Metrics(),
        lambda component: Log(component, "vm-1"),
    )
    built.started_at -= 60.0
    built.cells[CELL].owner_silent_since = built.started_at
    for name in ("start_owner", "stop_owner"):
        patcher = mock.patch.object(built, name, mock.AsyncMock())
        patcher.start()
        test.addCleanup(patcher.stop)
    return built
