// The control strand's part in the quarantine of prompt parts that crash endpoints: collects the outcomes of prompts, decides, and lets the
// request threads know.
#include "chicoryrouter/units.h"
#include "shell/clock.h"
#include "shell/control.h"
#include "shell/log.h"

namespace chicoryrouter {

namespace {

std::string_view toText(quarantine_change::cause why)
{
    switch (why) {
    case quarantine_change::cause::Decided:
        return "decided";
    case quarantine_change::cause::Adopted:
        return "adopted";
    case quarantine_change::cause::Ended:
        return "ended";
    }
    return "unknown";
}

} // namespace

void control::onPromptOutcome(prompt_outcome outcome)
{
    const std::lock_guard guard(m_outcomesLock);
    m_promptOutcomes.push_back(std::move(outcome));
}

void control::adoptQuarantine(std::uint64_t part, duration remaining)
{
    const time_point now = bootTimeNow();
    m_quarantine.adopt({part, now + remaining}, now);
    updateQuarantine(); // at once: a daemon that has just started must know it before its first request
}

void control::updateQuarantine()
{
    std::vector<prompt_outcome> pending;
    {
        const std::lock_guard guard(m_outcomesLock);
        pending.swap(m_promptOutcomes);
    }
    const time_point now = bootTimeNow();
    for (const prompt_outcome &outcome : pending) {
        m_quarantine.onOutcome(outcome, now);
    }
    const std::vector<quarantine_change> changes = m_quarantine.update(m_clusterState.members().liveMembers().size(), now);
    if (changes.empty()) {
        return;
    }
    m_host.quarantinedParts.publish(std::make_shared<prompt_parts>(m_quarantine.quarantined()));
    m_host.endQuarantined();
    for (const quarantine_change &change : changes) {
        const duration remaining = std::max(change.item.until - now, duration{});
        logEvent(log_event::PromptQuarantine,
            {{"part", partName(change.item.part)}, {"change", toText(change.why)}, {"crashes", change.crashes}, {"remaining_ms", inMilliseconds(remaining)}});
        if (m_hooks.onQuarantineChange) {
            m_hooks.onQuarantineChange(change.item.part, remaining);
        }
    }
}

} // namespace chicoryrouter
