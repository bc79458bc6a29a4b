// request_session: idempotency claims. A claim is created in the key-value service before the first byte is sent, and settled after the
// request has ended.
#include "shell/clock.h"
#include "shell/context_runner.h"
#include "shell/request_session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace chicoryrouter {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr duration storeCallTimeout = 500ms;
constexpr duration claimSettleTimeout = 5s;

} // namespace

void request_session::perform(const make_claim &)
{
    asio::co_spawn(m_thread.context, runClaim(), logged_end("claim"));
}

asio::awaitable<void> request_session::runClaim()
{
    using step = claim_machine::step;
    const auto self = shared_from_this();
    const request_facts &facts = m_machine.facts();
    const std::string key = claimKey(facts.account, facts.route.route, m_payload.idempotencyKey);
    claim_record record;
    record.nonce = facts.id;
    record.bodyHash = m_payload.bodyHash;
    record.requestId = facts.id;
    record.ownerDeadline = facts.deadline;
    m_claim = std::make_unique<claim_machine>(record, facts.waitUntil);
    step next = m_claim->start();
    while (next == step::Create || next == step::Read || next == step::Wait) {
        const time_point deadline = std::min(systemNow() + storeCallTimeout, facts.waitUntil);
        if (next == step::Create) {
            const store_reply reply = co_await m_thread.store.compareAndSwap(key, 0, encodeClaim(record), claimRetention, deadline);
            next = m_claim->onCreated(reply, systemNow());
        } else if (next == step::Read) {
            const store_reply reply = co_await m_thread.store.get(key, deadline);
            next = m_claim->onRead(reply, systemNow());
        } else {
            asio::steady_timer pause(m_thread.context, steadyAt(m_claim->retryAt()));
            co_await pause.async_wait(asio::use_awaitable);
            next = m_claim->onRetry(systemNow());
        }
    }
    m_claimWon = next == step::Acquired;
    if (next == step::Acquired) {
        recordEvent(log_event::ClaimWon, {});
        perform(m_machine.onClaimed(systemNow()));
        if (m_machine.isOver() && !m_machine.mayHaveRun()) {
            co_await settleClaim();
        }
        co_return;
    }
    if (next == step::Replay) {
        m_status = m_claim->existingRecord().status;
        m_contentType = m_claim->existingRecord().contentType;
        m_tokens.assign({m_claim->existingRecord().answer});
        m_replayed = true;
        recordEvent(log_event::ClaimReplayed, {{"earlier", m_claim->existingRecord().requestId}});
        perform(m_machine.onReplayed(systemNow()));
        co_return;
    }
    recordEvent(log_event::ClaimRefused, {{"error", responseFor(m_claim->refusal()).name}});
    perform(m_machine.onClaimRefused(m_claim->refusal(), systemNow()));
    if (m_claim->mayHaveOrphanedRecord()) {
        co_await settleClaim();
    }
}

// After the end of the request: stores the answer in the claim's record, or removes the record if no endpoint can have run the request,
// so that the caller can use the key again.
asio::awaitable<void> request_session::settleClaim()
{
    const auto self = shared_from_this();
    const request_facts &facts = m_machine.facts();
    const std::string key = claimKey(facts.account, facts.route.route, m_payload.idempotencyKey);
    claim_record record = m_claim->ownRecord();
    record.done = true; // also after a failure, because no instance works on the request any more
    if (!m_failed && text().size() <= maxStoredAnswerBytes) {
        record.status = m_status;
        record.contentType = m_contentType;
        record.answer = text();
    }
    const bool neverRan = m_failed && !m_machine.mayHaveRun();
    const time_point giveUpAt = systemNow() + claimSettleTimeout;
    while (systemNow() < giveUpAt) {
        const time_point deadline = systemNow() + storeCallTimeout;
        const store_reply stored = co_await m_thread.store.get(key, deadline);
        const std::optional<claim_record> found = stored.outcome == store_outcome::Ok ? decodeClaim(stored.value) : std::nullopt;
        const bool notOurs = stored.outcome == store_outcome::NotFound || (found && found->nonce != record.nonce);
        if (notOurs || (found && found->done)) {
            co_return;
        }
        if (found) {
            store_reply reply;
            if (neverRan) {
                reply = co_await m_thread.store.remove(key, stored.version, deadline);
            } else {
                reply = co_await m_thread.store.compareAndSwap(key, stored.version, encodeClaim(record), claimRetention, deadline);
            }
            if (reply.outcome == store_outcome::Ok) {
                co_return;
            }
        }
        asio::steady_timer pause(m_thread.context, 200ms);
        co_await pause.async_wait(asio::use_awaitable);
    }
    logEvent(log_event::ClaimNotSettled, {{"request", facts.id}});
}

} // namespace chicoryrouter
