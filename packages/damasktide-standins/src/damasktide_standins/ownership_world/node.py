"""Parties of the world: they can freeze, be killed and start again."""

from damasktide_standins.ownership_world.events import Action, EventQueue


class Node:
    """A party with a clock of its own.

    Parameters
    ----------
    queue
        Simulated time.
    name, domain, region
        Name that stays the same over restarts, and where the party stands.
    clock_offset, clock_rate
        Reading of its clock at time 0, and seconds that it counts in each second.
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
        self.is_frozen = False
        self.generation = 1
        self._clock_offset = clock_offset
        self._clock_rate = clock_rate
        self._backlog: list[Action] = []

    def clock(self) -> float:
        """Return the reading of this party's clock in seconds."""
        return self._clock_offset + self.queue.now * self._clock_rate

    def receive(self, action: Action) -> None:
        """Run ``action`` now, or when the party thaws; a party that is down drops it."""
        if not self.is_up:
            return
        if self.is_frozen:
            self._backlog.append(action)
        else:
            action()

    def after(self, delay: float, action: Action) -> None:
        """Run ``action`` after ``delay`` seconds unless the party was restarted meanwhile."""
        generation = self.generation

        def fire() -> None:
            if generation == self.generation:
                self.receive(action)

        self.queue.after(delay, fire)

    def freeze(self) -> None:
        """Stop handling anything; what arrives waits."""
        self.is_frozen = True

    def thaw(self) -> None:
        """Handle all that has waited, in the order of its arrival."""
        self.is_frozen = False
        backlog, self._backlog = self._backlog, []
        for action in backlog:
            self.receive(action)

    def kill(self) -> None:
        """End the process; its memory is lost."""
        self.is_up = False
        self.is_frozen = False
        self._backlog = []
        self.generation += 1

    def restart(self) -> None:
        """Start a new process under the same name."""
        if not self.is_up:
            self.is_up = True
            self.on_start()

    def on_start(self) -> None:
        """Set up the memory of a new process."""
