"""Creation, start and shutdown of an entry's request path."""

from __future__ import annotations

from collections.abc import Callable

from pollenkeel_entry.core.context import EntryContext
from pollenkeel_entry.requests.admission import Admission
from pollenkeel_entry.requests.answer_store import AnswerStore
from pollenkeel_entry.requests.api import ServicesApi
from pollenkeel_entry.requests.claims import ClaimFactory
from pollenkeel_entry.requests.forwarder import Forwarder
from pollenkeel_entry.requests.group_writer import GroupWriter
from pollenkeel_entry.requests.router import Router


class RequestService:
    """Creates, starts and closes the parts of the request path.

    Parameters
    ----------
    context : EntryContext
        Shared objects of the entry.
    is_silent : callable
        Returns whether an agent stopped answering heartbeats.
    """

    def __init__(self, context: EntryContext, is_silent: Callable[[str], bool]) -> None:
        settings = context.settings
        self.router = Router(context, is_silent)
        self._writer = GroupWriter(context.backend, "claims")
        self._answers = AnswerStore(context.backend, self._writer, context.clock)
        claims = ClaimFactory(context, self._writer, self._answers)
        self.forwarder = Forwarder(context, self.router, claims)
        self._admission = Admission(
            settings.http.threads, settings.limits.waiting_requests
        )
        self.api = ServicesApi(context, self.forwarder, self._admission)
        context.dump.register("requests_by_team", self._admission.dump)
        context.dump.register("answers_unstored", self._answers.pending)

    def start(self) -> None:
        """Start the threads of the request path."""
        self.router.start()
        self._writer.start()
        self._answers.start()

    def close(self) -> None:
        """Stop the threads of the request path."""
        self._answers.close()
        self._writer.close()
        self.router.close()

    def in_flight(self) -> int:
        """Return the number of admitted requests."""
        return self._admission.total()

    def pending_answers(self) -> int:
        """Return the number of answers that are still to be stored.

        The dump shows it as ``answers_unstored``; the metric of this name counts the
        answers that were given up.
        """
        return self._answers.pending()
