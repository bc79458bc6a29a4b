// The table of log events: name, severity, text and fields of every log line that the daemon writes. docs/LOGS.md is generated from it, and
// the rate limit of log.h applies to each event separately.
//
// Index
//   requests . cluster state . key-value service . membership and leader tasks . process
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace chicoryrouter {

enum class log_part : std::uint8_t {
    Route,   // choice of the endpoint for an attempt
    Request, // life cycle of a request
    Config,  // configuration document and its sources
    Member,  // cluster membership of the daemons
    Move,    // gradual moves of a service to a new version
    Place,   // leader tasks: scaling, placement, usage reports
    Load,    // state and load of the endpoints
    Claim,   // idempotency keys
    Peer,    // copies and hand-over of requests between daemons
    Daemon,  // this process
    Count
};

enum class log_level : std::uint8_t {
    Error,
    Warning,
    Info,
    Debug,
};

// The values carry the names that the log shows; the table in log_events.cpp has a sentence for each.
enum class log_event : std::uint8_t {
    // ---- Requests
    RequestAdmitted,
    RequestRefused,
    RequestShed, // refused under overload; RequestRefused follows
    FailureTold, // error response sent to the caller
    RequestWaits,
    RequestPlaced,
    RequestNotPlaced,
    AttemptSent,
    AttemptFailed,
    AttemptOverdue,
    RequestMoves, // away from an endpoint that will be reclaimed
    KvMoved,
    RequestAnswered,
    RequestFailed,
    CopyMade,   // on a peer daemon
    HandedOver, // to a peer daemon
    TakenOver,  // from a peer daemon
    NotTakenOver,
    ClaimWon, // idempotency key claimed
    ClaimReplayed,
    ClaimRefused,
    ClaimNotSettled, // record of the key left open
    // ---- Cluster state: configuration, endpoints, members
    DocumentInForce,
    DocumentRefused,
    DocumentPassedOver, // same revision, different content
    EntryUnreadable,
    EndpointUse,
    EndpointUses,     // several alike, without a line each
    EndpointNotice,   // will be reclaimed
    EndpointRests,    // asked for no new requests for a while
    PromptQuarantine, // a prompt part that crashes endpoints
    OverloadChanged,  // began, ended, or refuses from another rank
    MembersChanged,
    MoveChanged,     // move of a service to a new version
    AccountsNotTold, // spending not sent to the peers
    // ---- Key-value service
    StoreLost,
    StoreBack,
    StoreCallFailed,
    StoreHistoryGone,
    StoreReturned,  // from an older copy
    ReturnRecorded, // with what the copy lacked
    TellerLeft,     // stopped polling the peer that watches the key-value service
    // ---- Membership and leader tasks
    EntryLapsed, // this daemon's member entry expired
    LeadTaken,   // this daemon became the leader
    LeaseChanged,
    UsageReported,
    ScaleOrdered,
    OrderNotAnswered,
    PlanChanged,
    EndpointStart,
    EndpointStartRefused,
    EndpointStop,
    // ---- Process
    DaemonStarted,
    DaemonStopAsked,
    DaemonStopped,
    DaemonFailed, // the start, most of the time
    PortWait,
    PortTaken,
    SettingsRead,
    LoopFault,
    ThreadFault,  // an exception that nothing else caught
    LinesLeftOut, // suppressed by the rate limit
    LinesDropped, // not written
    Count
};

struct log_event_row
{
    log_event event;
    std::string_view name; // value of the field "event", unique
    log_part part;
    log_level level;
    std::string_view text;   // a sentence, the same in every line of the event
    std::string_view fields; // names of the line's other fields, separated by spaces
};

using log_event_table = std::array<log_event_row, static_cast<std::size_t>(log_event::Count)>;

const log_event_table &logEvents(); // one row for each log_event, in its order
const log_event_row &rowOf(log_event event);
std::string_view toText(log_part part);
std::string_view toText(log_level level);

} // namespace chicoryrouter
