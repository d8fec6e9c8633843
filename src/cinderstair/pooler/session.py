"""One client's session: decides from a statement's verb and the session's state how it is run."""

from ..runtime.errors import ErrorCode
from .reply import Reply, State, refusal
from .session_base import REPLY_MARGIN_US
from .single_read import SingleReadMixin
from .single_write import SingleWriteMixin
from .statement import PreparedStatement, Statement, Verb
from .transaction_statements import TransactionStatementsMixin

_END_VERBS = (Verb.commit, Verb.rollback)
_LOCAL_VERBS = (Verb.set_value, Verb.prepare, Verb.forget)
_BEGIN_VERBS = (Verb.begin, Verb.begin_read)


class Session(SingleWriteMixin, SingleReadMixin, TransactionStatementsMixin):
    """Runs a client's statements one at a time; the caller must wait for a reply before it runs the next."""

    @property
    def has_open_write_transaction(self) -> bool:
        """Whether a read-write transaction was begun at a backend, or may have been, and has not ended yet."""
        return self.transaction is not None and not self.transaction.read_only and self.transaction.begin_requested

    async def run(self, *, statement: Statement) -> Reply:
        """Runs one statement; the session takes over the state of the reply."""
        self.busy = True
        try:
            reply = await self._run(statement=statement)
        finally:
            self.busy = False
        self.state = reply.state
        if self.transaction is not None:
            self.transaction.last_used_us = self.ctx.now_us()
        if reply.fault is not None:
            self.ctx.counters.add(name=f"refused.{reply.native.decode(errors='replace') or reply.fault.value}")
        return reply

    async def _run(self, *, statement: Statement) -> Reply:
        verb = statement.verb
        if self.state == State.failed and verb not in _END_VERBS:
            return refusal(kind=ErrorCode.TRANSACTION_FAILED, state=State.failed)
        if verb in _LOCAL_VERBS:
            return self._change_session_state(statement=statement)
        if verb in _BEGIN_VERBS:
            return self._begin(read_only=verb == Verb.begin_read)
        if verb in _END_VERBS:
            return await self._end_transaction(statement=statement)
        if verb == Verb.execute and statement.name not in self.prepared:
            return self._failed(kind=ErrorCode.UNKNOWN_PREPARED)
        if self.transaction is not None:
            return await self._run_in_transaction(transaction=self.transaction, statement=statement)
        return await self._run_single(statement=statement)

    def _change_session_state(self, *, statement: Statement) -> Reply:
        """Changes the session's values or prepared statements; they are sent to a link before its next statement."""
        if statement.verb == Verb.set_value:
            self.values = {**self.values, statement.name: statement.content}
        elif statement.verb == Verb.prepare:
            self.prepared[statement.name] = PreparedStatement(statement.content, statement.writes)
        elif self.prepared.pop(statement.name, None) is None:
            return self._failed(kind=ErrorCode.UNKNOWN_PREPARED)
        return Reply(rows=[], state=self.state)

    async def _run_single(self, *, statement: Statement) -> Reply:
        """Runs a single statement outside any transaction."""
        route = self.route()
        if route is None:
            return refusal(kind=ErrorCode.UNKNOWN_DATABASE)
        arrived_us = self.ctx.now_us()
        until_us = arrived_us + route.time_limit_us - REPLY_MARGIN_US
        if self._writes(statement=statement):
            return await self._write(statement=statement, route=route, until_us=until_us)
        return await self._read(statement=statement, route=route, arrived_us=arrived_us, until_us=until_us)

    def end_idle_transaction(self, *, limit_us: int) -> None:
        """Rolls back the open transaction if its client has been idle for longer than the limit."""
        transaction = self.transaction
        if transaction is None or self.busy or self.ctx.now_us() - transaction.last_used_us <= limit_us:
            return
        self.abort()

    def abort(self) -> None:
        """Rolls back the open transaction; the session stays failed until its client ends the transaction."""
        transaction, self.transaction = self.transaction, None
        if transaction is not None:
            self.state = State.failed
            self._spawn_rollback(transaction=transaction)

    def close(self) -> None:
        """Ends the open transaction after the client has disconnected."""
        transaction, self.transaction = self.transaction, None
        if transaction is None:
            return
        # If a statement is still running on the link, only closing the link guarantees a rollback.
        if self.busy:
            self._discard(transaction=transaction)
        else:
            self._spawn_rollback(transaction=transaction)
