// Encoding of claim records, and the state machine of one claim.
#include "chicoryrouter/claim.h"

#include "chicoryrouter/hash.h"

#include <nlohmann/json.hpp>

namespace chicoryrouter {

namespace {
constexpr duration retryDelay = std::chrono::milliseconds(50);
constexpr duration holderTimeout = std::chrono::milliseconds(500); // a caller that already has its answer may repeat the call before the answer is stored
} // namespace

std::string claimKey(std::string_view account, std::string_view route, std::string_view idempotencyKey)
{
    // Two independent hashes give 128 bits, so that two keys of one account do not collide in practice.
    const std::string text = std::string(account) + '\n' + std::string(route) + '\n' + std::string(idempotencyKey);
    const std::string salted = text + "\nsecond";
    return "claim-" + std::to_string(hashBytes(text)) + "-" + std::to_string(hashBytes(salted));
}

std::string encodeClaim(const claim_record &record)
{
    const nlohmann::json value = {{"nonce", record.nonce}, {"body", record.bodyHash}, {"request", record.requestId},
        {"open_until", record.ownerDeadline.time_since_epoch().count()}, {"done", record.done}, {"status", record.status}, {"type", record.contentType},
        {"answer", nlohmann::json::binary_t(std::vector<std::uint8_t>(record.answer.begin(), record.answer.end()))}};
    const auto packed = nlohmann::json::to_msgpack(value);
    return {packed.begin(), packed.end()};
}

std::optional<claim_record> decodeClaim(std::string_view text)
{
    try {
        const auto value = nlohmann::json::from_msgpack(text);
        claim_record record;
        record.nonce = value.at("nonce");
        record.bodyHash = value.at("body");
        record.requestId = value.at("request");
        record.ownerDeadline = time_point(duration(value.at("open_until").get<std::int64_t>()));
        record.done = value.at("done");
        record.status = value.at("status");
        record.contentType = value.at("type");
        const auto &answer = value.at("answer").get_binary();
        record.answer.assign(answer.begin(), answer.end());
        return record;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

claim_machine::claim_machine(claim_record ownRecord, time_point deadline)
    : m_ownRecord(std::move(ownRecord))
    , m_deadline(deadline)
{
}

claim_machine::step claim_machine::onCreated(const store_reply &reply, time_point now)
{
    switch (reply.outcome) {
    case store_outcome::Ok:
        m_version = reply.version;
        return step::Acquired;
    case store_outcome::Conflict:
        return step::Read;
    case store_outcome::NotFound:
    case store_outcome::Unavailable:
        break;
    }
    m_createUncertain = true;
    return scheduleRetry(now, true);
}

claim_machine::step claim_machine::onRead(const store_reply &reply, time_point now)
{
    switch (reply.outcome) {
    case store_outcome::Unavailable:
    case store_outcome::Conflict:
        return scheduleRetry(now, true);
    case store_outcome::NotFound:
        return scheduleRetry(now, false);
    case store_outcome::Ok:
        break;
    }
    const std::optional<claim_record> found = decodeClaim(reply.value);
    if (!found) {
        m_refusal = error_kind::AnswerNotHeld;
        m_createUncertain = false;
        return step::Refused;
    }
    m_version = reply.version;
    return resolve(*found, now);
}

claim_machine::step claim_machine::resolve(const claim_record &found, time_point now)
{
    m_createUncertain = false;
    if (found.nonce == m_ownRecord.nonce) {
        return step::Acquired;
    }
    m_existingRecord = found;
    if (found.bodyHash != m_ownRecord.bodyHash) {
        m_refusal = error_kind::KeyReused;
        return step::Refused;
    }
    if (found.done && found.status != 0) {
        return step::Replay;
    }
    const bool abandoned = now >= found.ownerDeadline;
    if (!found.done && !abandoned) {
        m_holderDeadline = std::min({m_holderDeadline, now + holderTimeout, m_deadline});
        if (scheduleRetryBefore(m_holderDeadline, now, true)) {
            return step::Wait;
        }
    }
    m_refusal = found.done || abandoned ? error_kind::AnswerNotHeld : error_kind::ClaimedElsewhere;
    return step::Refused;
}

bool claim_machine::scheduleRetryBefore(time_point deadline, time_point now, bool readNext)
{
    m_readNext = readNext;
    m_retryAt = now + retryDelay;
    return m_retryAt < deadline;
}

claim_machine::step claim_machine::scheduleRetry(time_point now, bool readNext)
{
    if (scheduleRetryBefore(m_deadline, now, readNext)) {
        return step::Wait;
    }
    m_refusal = error_kind::PlatformUnavailable;
    return step::Refused;
}

claim_machine::step claim_machine::onRetry(time_point)
{
    return m_readNext ? step::Read : step::Create;
}

} // namespace chicoryrouter
