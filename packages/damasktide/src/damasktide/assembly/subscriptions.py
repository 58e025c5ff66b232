"""Subscriptions of tasks to messages of one type."""

from damasktide.runtime.task import Task


class MessageTypeFilter:
    """Forwards messages of one type to a task.

    Parameters
    ----------
    task
        Task that receives the messages.
    message_type
        Type of the messages to forward.
    """

    def __init__(self, task: Task, message_type: type) -> None:
        self._task = task
        self._message_type = message_type

    def tell(self, message: object) -> None:
        """Forward ``message`` if it is of the type."""
        if isinstance(message, self._message_type):
            self._task.tell(message)
