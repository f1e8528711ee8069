"""Log lines that say how a roll-out goes and by what its version is judged."""

import math

import logbook

from ...decisions.versionevidence import Verdict
from ...decisions.versiontrial import Progress
from .trial import Trial

log = logbook.Logger("rollout")


def log_evidence(trial: Trial, progress: Progress) -> None:
    """Log by what a version is judged, and what follows."""
    evidence = trial.evidence
    if trial.full_load.verdict is Verdict.BAD:
        evidence = trial.full_load
    log.notice(
        "rollout: {version} of {service} is {verdict}: {bad} of {answers} answers bad, "
        "others {other_bad} of {other_answers}; whole answers {whole:.2f} times as "
        "long, first pieces {first:.2f} times, pace {pace:.2f} times",
        version=trial.order.version,
        service=trial.order.service,
        verdict=evidence.verdict.value,
        signal=evidence.signal,
        route=evidence.route,
        answers=evidence.answers,
        bad=evidence.bad,
        other_answers=evidence.other_answers,
        other_bad=evidence.other_bad,
        whole=math.exp(evidence.whole.excess),
        whole_error=round(evidence.whole.error, 3),
        whole_typical=round(evidence.whole.typical, 3),
        first=math.exp(evidence.first.excess),
        first_error=round(evidence.first.error, 3),
        first_typical=round(evidence.first.typical, 3),
        pace=math.exp(evidence.pace.excess),
        pace_error=round(evidence.pace.error, 3),
        pace_typical=round(evidence.pace.typical, 3),
        timed=evidence.whole.answers,
        endpoints=evidence.endpoints,
        is_doubted=evidence.is_doubted,
        full_load=trial.full_load.verdict.value,
        full_load_answers=trial.full_load.answers,
        share=round(trial.share, 3),
        has_moved=trial.moved_at is not None,
        part=round(progress.part, 3),
        sent=progress.sent,
        sent_new=progress.sent_new,
        left=round(progress.left, 1),
        rate=round(progress.latest_rate, 1),
    )


def log_counts(trial: Trial, progress: Progress) -> None:
    """Log how many requests a version got until its time limit."""
    allowed = progress.allowed_share * progress.sent + progress.slack
    log.notice(
        "rollout: {version} of {service} at its time limit: {state}, {sent_new} of "
        "{sent} requests, {allowed:.1f} allowed",
        version=trial.order.version,
        service=trial.order.service,
        state=trial.state.value,
        sent=progress.sent,
        sent_new=progress.sent_new,
        allowed=allowed,
        own_sent=trial.account.sent,
        own_sent_new=trial.account.sent_new,
        own_reached=trial.account.reached,
        not_run=trial.account.not_run,
        given=round(sum(trial.account.given.values()), 1),
        received=round(sum(trial.account.received.values()), 1),
        left=round(progress.left, 1),
        unseen=round(progress.unseen, 2),
        verdict=trial.evidence.verdict.value,
        full_load=trial.full_load.verdict.value,
        is_bad=trial.is_bad,
        has_moved=trial.moved_at is not None,
        is_witnessed=trial.is_witnessed,
        sources=1 + len(trial.peers),
    )


def log_since_end(trial: Trial) -> None:
    """Log what a version answered here since its roll-out ended."""
    log.notice(
        "rollout: {version} of {service} since it is {state}: {bad} of {answers} "
        "answers bad",
        version=trial.order.version,
        service=trial.order.service,
        state=trial.state.value,
        bad=trial.bad_since_end,
        answers=trial.answers_since_end,
    )
