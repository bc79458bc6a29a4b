// Every kind of log line there is. docs/LOGS.md is printed from this table, and lines are bounded in number by kind.
//
// Index
//   requests . what is believed . dependencies . duties . the process
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace chicoryrouter {

enum class log_part : std::uint8_t {
    Route,   // where an attempt goes
    Request, // what became of a request
    Config,  // the document in force and where it comes from
    Member,  // daemons
    Move,    // version moves
    Place,   // duties: numbers of endpoints, usage
    Load,    // endpoints
    Claim,   // idempotency keys
    Peer,    // between daemons
    Daemon,  // this process
    Count
};

enum class log_level : std::uint8_t {
    Error,
    Warning,
    Info,
    Debug,
};

enum class log_event : std::uint8_t {
    // ---- Requests
    RequestAdmitted,
    RequestRefused,
    FailureTold,
    RequestWaits,
    RequestPlaced,
    RequestNotPlaced,
    AttemptSent,
    AttemptFailed,
    AttemptOverdue,
    RequestMoves,
    KvMoved,
    RequestAnswered,
    RequestFailed,
    CopyMade,
    HandedOver,
    TakenOver,
    NotTakenOver,
    ClaimWon,
    ClaimReplayed,
    ClaimRefused,
    ClaimNotSettled,
    // ---- What is believed
    DocumentInForce,
    DocumentRefused,
    DocumentPassedOver,
    EntryUnreadable,
    EndpointUse,
    EndpointNotice,
    MembersChanged,
    MoveChanged,
    AccountsNotTold,
    // ---- Dependencies
    StoreLost,
    StoreBack,
    StoreCallFailed,
    StoreHistoryGone,
    TellerLeft,
    // ---- Duties
    EntryLapsed,
    LeadTaken,
    LeaseChanged,
    UsageReported,
    ScaleOrdered,
    OrderNotAnswered,
    PlanChanged,
    EndpointStart,
    EndpointStartRefused,
    EndpointStop,
    // ---- The process
    DaemonStarted,
    DaemonStopAsked,
    DaemonStopped,
    SettingsRead,
    LoopFault,
    LinesLeftOut,
    Count
};

struct log_event_row
{
    log_event event;
    std::string_view name; // unique
    log_part part;
    log_level level;
    std::string_view text;   // a short sentence, the same in every line of the kind
    std::string_view fields; // beside it, in order
};

using log_event_table = std::array<log_event_row, static_cast<std::size_t>(log_event::Count)>;

const log_event_table &logEvents(); // in the order of the enumeration
const log_event_row &rowOf(log_event event);
std::string_view toText(log_part part);
std::string_view toText(log_level level);

} // namespace chicoryrouter
