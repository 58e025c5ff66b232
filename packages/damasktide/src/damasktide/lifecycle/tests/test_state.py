import unittest

from damasktide.lifecycle.probes import healthz, readyz
from damasktide.lifecycle.state import Lifecycle, LifecycleSnapshot, Phase, StopTimes


class LifecycleTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lifecycle = Lifecycle()
        self.lifecycle.mark_ready(0.0)

    def at(self, now: float) -> LifecycleSnapshot:
        self.lifecycle.tick(now)
        return self.lifecycle.snapshot

    def refuse(self) -> None:
        """Enter the refusing phase at 12 s."""
        self.lifecycle.begin_drain(10.0)
        self.assertIs(self.at(12.0).phase, Phase.REFUSING)

    def test_readiness_drops_while_requests_are_still_served(self) -> None:
        """Guards against refusals before the load balancer has noticed the drain."""
        self.lifecycle.begin_drain(10.0)
        for now in (10.0, 11.9):
            snapshot = self.at(now)
            self.assertEqual((snapshot.is_ready, snapshot.accepts_requests), (False, True))
        self.assertFalse(self.at(12.0).accepts_requests)

    def test_second_signal_does_not_restart_the_drain(self) -> None:
        """Guards against a stop that is delayed by each further SIGTERM."""
        self.lifecycle.begin_drain(10.0)
        self.lifecycle.begin_drain(11.5)
        self.assertIs(self.at(12.0).phase, Phase.REFUSING)
        self.lifecycle.mark_ready(12.0)
        self.assertFalse(self.lifecycle.snapshot.is_ready)

    def test_stop_waits_for_requests_in_flight(self) -> None:
        """Guards against a planned stop that interrupts a request."""
        self.lifecycle.start_request()
        self.refuse()
        self.lifecycle.confirm_counts()
        self.assertIs(self.at(30.0).phase, Phase.REFUSING)
        self.lifecycle.finish_request()
        self.assertIs(self.at(30.1).phase, Phase.STOPPED)

    def test_stop_waits_until_accepted_requests_are_counted(self) -> None:
        """Guards against a stop after a request was accepted but before it was counted."""
        self.refuse()
        self.assertIs(self.at(20.0).phase, Phase.REFUSING)
        self.lifecycle.start_request()
        self.lifecycle.confirm_counts()
        self.assertIs(self.at(20.1).phase, Phase.REFUSING)

    def test_request_that_never_finishes_delays_the_stop_up_to_its_deadline(self) -> None:
        """Guards against an instance that never stops."""
        self.lifecycle.start_request()
        self.refuse()
        self.assertIs(self.at(71.9).phase, Phase.REFUSING)
        self.assertIs(self.at(72.0).phase, Phase.STOPPED)

    def test_requests_in_flight_are_aborted_before_the_stop(self) -> None:
        """Guards against connections that are closed without a response, as in review/6."""
        self.lifecycle = Lifecycle(longest_deadline_s=3.0, abort_s=0.3)
        self.lifecycle.mark_ready(0.0)
        self.lifecycle.start_request()
        self.refuse()
        self.lifecycle.confirm_counts()
        self.assertEqual(self.lifecycle.snapshot.stop_times, StopTimes(12.0, 15.0))
        self.assertIs(self.at(14.9).phase, Phase.REFUSING)
        self.assertIs(self.at(15.1).phase, Phase.ABORTING)
        self.assertIs(self.at(15.2).phase, Phase.ABORTING)
        self.lifecycle.finish_request()
        self.assertIs(self.at(15.25).phase, Phase.STOPPED)

    def test_aborted_request_that_never_finishes_does_not_delay_the_stop(self) -> None:
        """Guards against an instance that the platform has to kill."""
        self.lifecycle = Lifecycle(longest_deadline_s=3.0, abort_s=0.3)
        self.lifecycle.mark_ready(0.0)
        self.lifecycle.start_request()
        self.refuse()
        self.assertIs(self.at(15.0).phase, Phase.ABORTING)
        self.assertIs(self.at(15.3).phase, Phase.STOPPED)

    def test_failed_task_drains_and_sets_the_exit_code(self) -> None:
        """Guards against an instance that keeps running without one of its tasks."""
        self.lifecycle.fail_task("membership", 10.0)
        snapshot = self.at(10.0)
        self.assertEqual((snapshot.phase, snapshot.exit_code), (Phase.LEAVING, 1))
        self.assertEqual(healthz(snapshot).status, 503)

    def test_probes_in_each_phase(self) -> None:
        """Guards against probe results for which the platform replaces a draining instance."""
        statuses = {}
        for phase in Phase:
            snapshot = LifecycleSnapshot(phase)
            statuses[phase] = (readyz(snapshot).status, healthz(snapshot).status)
        self.assertEqual(statuses.pop(Phase.READY), (200, 200))
        self.assertEqual(set(statuses.values()), {(503, 200)})


if __name__ == "__main__":
    unittest.main()
