// Claims: how a call that may not repeat is tied to its Idempotency-Key, so that it runs at most once over all entry instances.
//
// Before the first byte is sent, the daemon creates the key's record in the platform's key-value service by compare-and-swap. Only the
// creator sends. A reply lost after taking effect is settled by reading the record back and comparing the nonce. A record never
// changes hands: no lease is involved, so a paused owner cannot be overtaken, and a dead owner's key is answered truthfully
// ("may have run") instead of being run again.
#pragma once

#include "chicoryrouter/error.h"
#include "chicoryrouter/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chicoryrouter {

// Outcome of one call to the key-value service.
enum class store_outcome : std::uint8_t {
    Ok,
    Conflict,    // the expected version was not the present one
    NotFound,    // reads only
    Unavailable, // no answer, or a late one: a write may or may not have taken effect
};

struct store_reply
{
    store_outcome outcome = store_outcome::Unavailable;
    std::uint64_t version = 0; // of the value; 0: no value
    std::string value;
};

// What the key-value service holds under a claim's key.
struct claim_record
{
    std::string nonce;          // of the call that created it
    std::uint64_t bodyHash = 0; // of the request's body
    std::string requestId;
    time_point ownerDeadline{}; // the owner's deadline: later the record counts as abandoned
    bool done = false;
    int status = 0; // of the answer; 0 while open, or when the answer was too large to hold
    std::string contentType;
    std::string answer;
};

inline constexpr std::size_t maxStoredAnswerBytes = 16 * 1024;
inline constexpr duration claimRetention = std::chrono::hours(24); // the key-value service drops the record afterwards

std::string claimKey(std::string_view account, std::string_view route, std::string_view idempotencyKey); // key in the key-value service
std::string encodeClaim(const claim_record &record);
std::optional<claim_record> decodeClaim(std::string_view text); // nothing when it is no claim

// Settles one claim. Carry out the step it returns and report the reply.
class claim_machine
{
public:
    enum class step : std::uint8_t {
        Create,   // compare-and-swap the record in, expecting no value -> onCreated()
        Read,     // read the key -> onRead()
        Wait,     // try again at retryAt() -> onRetry()
        Acquired, // this call may send; version() is the record's
        Replay,   // settled before: holder() has the answer
        Refused,  // refusal() says why; nothing was sent and nothing may be
    };

    claim_machine(claim_record ownRecord, time_point deadline);

    step start() const { return step::Create; }
    step onCreated(const store_reply &reply, time_point now);
    step onRead(const store_reply &reply, time_point now);
    step onRetry(time_point now);

    [[nodiscard]] time_point retryAt() const { return m_retryAt; }
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] const claim_record &ownRecord() const { return m_ownRecord; }
    [[nodiscard]] const claim_record &existingRecord() const { return m_existingRecord; }
    [[nodiscard]] error_kind refusal() const { return m_refusal; }
    [[nodiscard]] bool mayHaveOrphanedRecord() const { return m_createUncertain; } // refused, but the record may have been created: remove it later

private:
    bool scheduleRetryBefore(time_point deadline, time_point now, bool readNext); // false: there is no time left for another look
    step scheduleRetry(time_point now, bool readNext);
    step resolve(const claim_record &found, time_point now);

    claim_record m_ownRecord;
    claim_record m_existingRecord;
    time_point m_deadline;
    time_point m_retryAt = noDeadline;
    time_point m_holderDeadline = noDeadline; // how long the answer of the call that holds the key is waited for
    std::uint64_t m_version = 0;
    error_kind m_refusal = error_kind::PlatformUnavailable;
    bool m_readNext = false;
    bool m_createUncertain = false; // a create was lost and has not been read back
};

} // namespace chicoryrouter
