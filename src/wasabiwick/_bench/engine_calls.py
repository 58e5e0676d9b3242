"""Simulated calls from hosts to engines, and the events that report their results to hosts."""

from .. import _effects, _events
from .._errors import ENDPOINT_FAILED, ENDPOINT_REFUSED, ENDPOINT_SILENT, Failure
from .._events import Event
from .._verdict import Verdict
from .engine_model import Engine, PrefillJob, Stream
from .host import Host
from .workload import Ask

PROGRESS_INTERVAL_S = 1.0  # Time between two progress events of one stream.
CACHE_EVENT_DELAY_S = 0.3  # Time until fetched cache events reach the host.
CACHE_EVENT_LOSS = 0.1  # Share of cache events that are lost, 0 to 1.


class EngineCalls:
    """Mixin of `World` that performs the effects addressed to engines."""

    def _reachable_engine(self, host: Host, name: str) -> Engine | None:
        engine = self.engines[name]
        return engine if engine.alive and not self.is_cut(host.zone, engine.zone) else None

    def send_failure(
        self, host: Host, effect: _effects.AttemptEffect, phase: str, *, refused: bool = False
    ) -> None:
        """Notify a host that its call to an engine failed."""
        engine = self.engines[effect.endpoint]
        is_unreachable = self.is_cut(host.zone, engine.zone)
        reason = (
            ENDPOINT_REFUSED if refused else ENDPOINT_SILENT if is_unreachable else ENDPOINT_FAILED
        )
        verdict = Verdict.NOT_RUN if refused else Verdict.MAY_HAVE_RUN
        event = _events.AttemptFailed.about(
            effect,
            at=0.0,
            phase=phase,
            failure=Failure(reason=reason, verdict=verdict),
        )
        delay = (
            host.state.cfg.timing.connect
            if is_unreachable
            else self.network_delay(host.zone, engine.zone)
        )
        self.send(host, delay, event)

    def start_prefill(self, host: Host, effect: _effects.StartPrefill) -> None:
        """Send a prefill to an engine, and its result to the host once the prefill is done."""
        ask = self.asks[effect.request_id]

        def arrive() -> None:
            engine = self._reachable_engine(host, effect.endpoint)
            if engine is None:
                self.send_failure(host, effect, "prefill")
                return
            job = PrefillJob(
                request_id=effect.request_id,
                attempt_id=effect.attempt_id,
                owner=host.owner_name(),
                segments=ask.segments,
                priority=effect.priority,
                on_done=send_result,
            )
            self.callers.engine_crash_hooks.setdefault(engine.name, {})[effect.attempt_id] = (
                lambda: self.send_failure(host, effect, "prefill")
            )
            engine.prefill(job)

        def send_result(cached_tokens: int, seconds: float) -> None:
            engine = self.engines[effect.endpoint]
            self.callers.engine_crash_hooks[engine.name].pop(effect.attempt_id, None)
            self.callers.prefilled(ask, effect.attempt_id, ask.tokens - cached_tokens, self.now)
            self._handle_expiry[effect.attempt_id] = self.now + engine.traits.expiry
            event = _events.PrefillDone.about(
                effect,
                at=0.0,
                handle=effect.attempt_id,
                expires_in=engine.traits.expiry,
                prompt_tokens=ask.tokens,
                cached_tokens=cached_tokens,
                seconds=seconds,
            )
            self.send(host, self.network_delay(host.zone, engine.zone), event)

        self.after(self.network_delay(host.zone, self.engines[effect.endpoint].zone), arrive)

    def start_decode(self, host: Host, effect: _effects.StartDecode) -> None:
        """Send a decode to an engine, which first imports the KV cache from the prefill engine."""
        ask = self.asks[effect.request_id]

        def arrive() -> None:
            engine = self._reachable_engine(host, effect.endpoint)
            if engine is None:
                self.send_failure(host, effect, "decode")
                return
            if not engine.begin_import(effect.attempt_id, host.owner_name()):
                self.send_failure(host, effect, "decode", refused=True)
                return
            is_local = effect.source == effect.endpoint
            seconds = 0.0 if is_local else engine.transfer_seconds(ask.tokens)
            time_to_expiry = self._handle_expiry.get(effect.attempt_id, 0.0) - self.now
            if not is_local:
                engine.active_transfers += 1
            if seconds > time_to_expiry:
                self.after(max(0.0, time_to_expiry), lambda: fail_import(engine))
            else:
                self.after(seconds, lambda: finish_import(engine, is_local))

        def fail_import(engine: Engine) -> None:
            engine.active_transfers -= 1
            if engine.importing.pop(effect.attempt_id, None):
                self.send_failure(host, effect, "decode")

        def finish_import(engine: Engine, is_local: bool) -> None:
            if not is_local:
                engine.active_transfers -= 1
            if effect.attempt_id not in engine.importing or not engine.alive:
                return
            engine.store_prompt(ask.segments)
            self._start_stream(host, effect, engine, ask)

        self.after(self.network_delay(host.zone, self.engines[effect.endpoint].zone), arrive)

    def _start_stream(
        self, host: Host, effect: _effects.StartDecode, engine: Engine, ask: Ask
    ) -> None:
        stream = Stream(
            request_id=effect.request_id,
            attempt_id=effect.attempt_id,
            owner=host.owner_name(),
            output_tokens=ask.output,
            begin_count=0.0,
            first=lambda: self._first_output(engine, effect),
            done=lambda: self._send_end(engine, effect, ask.output),
        )
        self.callers.stream_hosts[effect.attempt_id] = host
        self.callers.engine_crash_hooks.setdefault(engine.name, {})[effect.attempt_id] = (
            lambda: self._fail_broken_stream(effect)
        )
        engine.start_stream(stream)

    def _first_output(self, engine: Engine, effect: _effects.AttemptEffect) -> None:
        self._send_progress(engine, effect, 1)
        self.after(PROGRESS_INTERVAL_S, lambda: self._next_progress(engine, effect))

    def _next_progress(self, engine: Engine, effect: _effects.AttemptEffect) -> None:
        if engine.alive and effect.attempt_id in engine.streams:
            self._send_progress(engine, effect, engine.output_count(effect.attempt_id))
            self.after(PROGRESS_INTERVAL_S, lambda: self._next_progress(engine, effect))

    def _fail_broken_stream(self, effect: _effects.AttemptEffect) -> None:
        host = self.callers.stream_hosts.get(effect.attempt_id)
        if host and (host.name, effect.attempt_id) not in self._dropped_streams:
            self.send_failure(host, effect, "decode")

    def _send_progress(self, engine: Engine, effect: _effects.AttemptEffect, count: int) -> None:
        host = self.callers.stream_hosts[effect.attempt_id]
        event = _events.StreamProgress.about(
            effect,
            at=0.0,
            count=count,
            offset=count,
        )
        self._relay(engine, host, effect, event)

    def _send_end(self, engine: Engine, effect: _effects.AttemptEffect, offset: int) -> None:
        self.callers.engine_crash_hooks[engine.name].pop(effect.attempt_id, None)
        host = self.callers.stream_hosts[effect.attempt_id]
        event = _events.StreamEnded.about(
            effect,
            at=0.0,
            offset=offset,
            finish="stop",
        )
        self._relay(engine, host, effect, event)

    def _relay(
        self, engine: Engine, host: Host, effect: _effects.AttemptEffect, event: Event
    ) -> None:
        if (host.name, effect.attempt_id) in self._dropped_streams or self.is_cut(
            host.zone, engine.zone
        ):
            return

        def arrive() -> None:
            if host.alive and isinstance(event, _events.StreamProgress):
                self.callers.output(effect.request_id, effect.attempt_id, self.now)
            self.deliver(host, event)

        self.after(self.network_delay(host.zone, engine.zone), arrive)

    def resume_stream(self, host: Host, effect: _effects.ResumeStream) -> None:
        """Relay the stream of a running attempt to this host from now on."""
        self._dropped_streams.discard((host.name, effect.attempt_id))

        def arrive() -> None:
            engine = self._reachable_engine(host, effect.endpoint)
            if engine is None or effect.attempt_id not in engine.streams:
                self.send_failure(host, effect, "resume")
                return
            self.callers.stream_hosts[effect.attempt_id] = host
            self._send_progress(engine, effect, engine.output_count(effect.attempt_id))

        self.after(self.network_delay(host.zone, self.engines[effect.endpoint].zone), arrive)

    def drop_stream(self, host: Host, effect: _effects.DropStream) -> None:
        """Stop relaying an attempt's stream to a host."""
        self._dropped_streams.add((host.name, effect.attempt_id))

    def cancel_attempt(self, host: Host, effect: _effects.CancelAttempt) -> None:
        """Cancel an attempt at an engine."""

        def arrive() -> None:
            engine = self._reachable_engine(host, effect.endpoint)
            if engine is None:
                self.send_failure(host, effect, "cancel")
                return
            engine.cancel(effect.attempt_id)
            self.callers.engine_crash_hooks.get(engine.name, {}).pop(effect.attempt_id, None)
            event = _events.CancelAnswered.about(
                effect,
                at=0.0,
                gone=True,
            )
            self.send(host, self.network_delay(host.zone, engine.zone), event)

        self.after(self.network_delay(host.zone, self.engines[effect.endpoint].zone), arrive)

    def fetch_report(self, host: Host, effect: _effects.FetchReport) -> None:
        """Fetch an engine's report, which reaches the host after ``report_lag`` seconds."""
        engine = self._reachable_engine(host, effect.endpoint)
        if engine is None:
            delay = host.state.cfg.timing.connect
            self.send(host, delay, _events.EngineSilent(at=0.0, endpoint=effect.endpoint))
            return
        event = _events.EngineReported(at=0.0, report=engine.report())
        self.send(host, self.report_lag, event)

    def fetch_cache_events(self, host: Host, effect: _effects.FetchCacheEvents) -> None:
        """Fetch an engine's cache events; some are lost, the others arrive after a delay."""
        engine = self._reachable_engine(host, effect.endpoint)
        if engine is None:
            return
        changes = tuple(
            one
            for one in engine.cache_events_after(effect.sequence)
            if self.rng.random() >= CACHE_EVENT_LOSS
        )
        event = _events.CacheChanged(at=0.0, endpoint=effect.endpoint, changes=changes)
        self.send(host, CACHE_EVENT_DELAY_S, event)
