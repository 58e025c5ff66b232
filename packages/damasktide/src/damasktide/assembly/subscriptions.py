"""Subscriptions of tasks to messages of one type."""

from damasktide.runtime.task import Task


class OnlyMessages:
    """Passes messages of one type on to a task.

    Parameters
    ----------
    task
        Task that gets the messages.
    message_type
        Type that it handles.
    """

    def __init__(self, task: Task, message_type: type) -> None:
        self._task = task
        self._message_type = message_type

    def tell(self, message: object) -> None:
        """Pass ``message`` on if it has the type."""
        if isinstance(message, self._message_type):
            self._task.tell(message)
