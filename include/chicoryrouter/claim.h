// Claims: bind a non-repeatable call to its Idempotency-Key, so that it runs at most once across all entry instances.
//
// Index
//   store_reply . claim_record . encoding . claim_machine
//
// Before the first byte is sent, the daemon creates a record for the key in the platform's key-value service by compare-and-swap. Only
// the daemon that created the record sends the call. If the reply to the create is lost, the daemon reads the record back and compares
// the nonce to learn whether its create took effect. A record never changes its owner. There is no lease that could expire, so a paused
// owner cannot be overtaken. If the owner dies, later calls with its key are answered with "may have run" instead of being run again.
#pragma once

#include "chicoryrouter/error.h"
#include "chicoryrouter/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chicoryrouter {

// Outcome of one operation on the key-value service.
enum class store_outcome : std::uint8_t {
    Ok,
    Conflict,    // the stored version differs from the expected one
    NotFound,    // reads only
    Unavailable, // no reply in time: a write may or may not have taken effect
};

struct store_reply
{
    store_outcome outcome = store_outcome::Unavailable;
    std::uint64_t version = 0; // version of the value; 0: no value
    std::string value;
};

// Record stored in the key-value service under claimKey().
struct claim_record
{
    std::string nonce;          // identifies the call that created the record
    std::uint64_t bodyHash = 0; // hash of the request's body
    std::string requestId;
    time_point ownerDeadline{}; // an open record counts as abandoned after this moment
    bool done = false;          // the call has ended
    int status = 0;             // of the answer; 0 while the call is open, or if the answer was too large to store
    std::string contentType;
    std::string answer;
};

inline constexpr std::size_t maxStoredAnswerBytes = 16 * 1024;
inline constexpr duration claimRetention = std::chrono::hours(24); // the key-value service deletes the record afterwards

std::string claimKey(std::string_view account, std::string_view route, std::string_view idempotencyKey); // key of the record in the key-value service
std::string encodeClaim(const claim_record &record);
std::optional<claim_record> decodeClaim(std::string_view text); // nullopt if `text` is not an encoded claim

// State machine that makes one claim. Performs no I/O: carry out each returned step and report the reply by the function named beside it.
class claim_machine
{
public:
    enum class step : std::uint8_t {
        Create,   // create ownRecord() by compare-and-swap, expecting no value -> onCreated()
        Read,     // read the record -> onRead()
        Wait,     // wait until retryAt() -> onRetry()
        Acquired, // the record belongs to this call, which may be sent; version() is the version of the record
        Replay,   // an earlier call has ended: existingRecord() has its answer
        Refused,  // refusal() has the reason; the call was not sent and may not be
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
    [[nodiscard]] bool mayHaveOrphanedRecord() const { return m_createUncertain; } // refused, but its record may have been created: remove it later

private:
    bool scheduleRetryBefore(time_point deadline, time_point now, bool readNext); // `readNext`: read the record, else create it. False: too late
    step scheduleRetry(time_point now, bool readNext);
    step resolve(const claim_record &found, time_point now);

    claim_record m_ownRecord;
    claim_record m_existingRecord;
    time_point m_deadline;
    time_point m_retryAt = noDeadline;
    time_point m_holderDeadline = noDeadline; // end of the wait for the answer of the call that holds the key
    std::uint64_t m_version = 0;
    error_kind m_refusal = error_kind::PlatformUnavailable;
    bool m_readNext = false;        // the next retry reads the record instead of creating it
    bool m_createUncertain = false; // the reply to a create was lost, and the record has not been read back yet
};

} // namespace chicoryrouter
