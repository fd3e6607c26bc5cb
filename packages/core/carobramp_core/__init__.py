"""State machines of carobramp, without sockets or clocks.

Explanation
===========

There are two dispatchers. `cells` dispatches to leased upstreams and is used by
`carobramp_platform`. `dispatch`, with `tickets`, `submission` and `membership`, is used
by the daemon that `carobramp_daemon.main` starts. They share only the run time
estimator and the types of `platform`.
"""
