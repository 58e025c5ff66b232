"""Simulated processes that can be paused, killed and restarted."""

from damasktide_standins.ownership_world.events import Action, EventQueue


class Node:
    """A simulated process with its own clock.

    Parameters
    ----------
    queue
        Event queue.
    name, domain, region
        Name, which stays the same across restarts, failure domain and region.
    clock_offset, clock_rate
        Reading of its clock in seconds at simulated time 0, and clock seconds per simulated
        second.
    """

    def __init__(
        self,
        queue: EventQueue,
        name: str,
        domain: str,
        region: str,
        clock_offset: float = 0.0,
        clock_rate: float = 1.0,
    ) -> None:
        self.queue = queue
        self.name = name
        self.domain = domain
        self.region = region
        self.is_up = True
        self.is_paused = False
        self.generation = 1
        self._clock_offset = clock_offset
        self._clock_rate = clock_rate
        self._backlog: list[Action] = []

    def clock(self) -> float:
        """Return the reading of this node's clock in seconds."""
        return self._clock_offset + self.queue.now * self._clock_rate

    def receive(self, action: Action) -> None:
        """Run ``action`` now, or on resume if the node is paused; drop it if the node is down."""
        if not self.is_up:
            return
        if self.is_paused:
            self._backlog.append(action)
        else:
            action()

    def after(self, delay_s: float, action: Action) -> None:
        """Run ``action`` after ``delay_s`` seconds unless the node is killed before then."""
        generation = self.generation

        def fire() -> None:
            if generation == self.generation:
                self.receive(action)

        self.queue.after(delay_s, fire)

    def pause(self) -> None:
        """Stop running actions; queue those that arrive."""
        self.is_paused = True

    def resume(self) -> None:
        """Run the queued actions in order of arrival."""
        self.is_paused = False
        backlog, self._backlog = self._backlog, []
        for action in backlog:
            self.receive(action)

    def kill(self) -> None:
        """End the process and discard its queued and scheduled actions."""
        self.is_up = False
        self.is_paused = False
        self._backlog = []
        self.generation += 1

    def restart(self) -> None:
        """Start a new process under the same name if the node is down."""
        if not self.is_up:
            self.is_up = True
            self.on_start()

    def on_start(self) -> None:
        """Initialise the state of a new process."""
