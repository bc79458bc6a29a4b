// The document: the configuration of the whole deployment, written by operators in YAML and stored in the platform's key-value service.
//
// Index
//   services and versions . failure domains . client accounts . contracts (routes) . version moves . placement . callers' limits .
//   reading and comparing
//
// A document is parsed once, validated as a whole, and immutable from then on. A document with a higher revision replaces it.
// The published schema is schema/document.schema.json. parseDocument() also checks what a schema cannot express, such as references
// between entries.
//
// Terms: an entry instance is an instance that runs a chicoryrouter daemon; an endpoint is one running copy of a version of a service.
#pragma once

#include "chicoryrouter/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryrouter {

// ---- Services and versions -------------------------------------------------------------------------------------------------------------

enum class service_kind {
    Model, // large model endpoints: streamed tokens, reuse of cached prompt prefixes, resumption of broken streams
    Plain, // ordinary HTTP services
};

struct version_spec
{
    std::string name;                     // unique within its service
    std::uint32_t initialConcurrency = 1; // concurrent requests for an endpoint that has completed none yet; at least 1
    std::uint32_t maxConcurrency = 8;     // concurrent requests for an endpoint that is warmed up; at least initialConcurrency
    bool refusesOldFencing = true;        // false: the engine also obeys orders with an outdated fencing number
};

struct service
{
    std::string name; // unique
    service_kind kind = service_kind::Plain;
    std::string currentVersion;         // receives all traffic while no version move is open
    std::vector<version_spec> versions; // at least one, unless `anyVersion`
    bool anyVersion = false;            // endpoints report their own version; every version gets traffic unless a version move has rolled it back
    version_spec versionDefaults;       // anyVersion only: concurrency of endpoints that do not report their own
    std::uint32_t maxConnections = 0;   // connections that one endpoint accepts from all entry instances together; 0: not set
    double coldRequestsPerSecond = 0.0; // requests per second for a cold endpoint, over all entry instances; 0: not set
    std::int64_t memoryTokens = 0;      // tokens of requests that one endpoint can hold, prompt and answer; 0: unknown
};

// ---- Failure domains -------------------------------------------------------------------------------------------------------------------

struct failure_domain
{
    std::string name; // unique
    std::string region;
    bool disabled = false; // true: taken out of service by operators; gets no new work
};

// Priority of a request in queues. The name `Prompt` means "without delay", not a model's prompt.
enum class priority : std::uint8_t {
    Prompt, // interactive: a person waits for the first token
    Normal,
    Long, // batch work: may wait, must finish
    Count,
};

// ---- Client accounts -------------------------------------------------------------------------------------------------------------------

struct client_account
{
    std::string name;                     // unique
    double weight = 1.0;                  // share of a saturated service, relative to other accounts; above 0
    std::uint32_t maxInFlight = 0;        // concurrent requests, over all entry instances; at least 1
    std::vector<std::string> tokenHashes; // SHA-256 of each bearer token, in lower-case hex; the tokens themselves are never stored
    std::optional<priority> rank{};       // overrides the route's priority when set
    double tokensPerSecond = 0.0;         // rate limit of prompt and output tokens, over all entry instances; 0: no limit
    double tokenBurst = 0.0;              // burst: tokens that an idle account may spend on top of the rate
    std::uint32_t tokensPerPlainCall = 0; // tokens charged for a call that states no token count
};

// ---- Contracts -------------------------------------------------------------------------------------------------------------------------

// One service's share of a route whose traffic is split among several services.
struct service_share
{
    std::string service;
    std::uint32_t weight = 0; // relative to the route's other shares
};

// A route and what it guarantees to callers. Durations count from a request's arrival unless stated otherwise; the request itself stores
// the absolute deadlines computed from them.
struct contract
{
    std::string route;                // unique name; for model services also the `model` that callers request
    std::string service;              // name of the service that serves it
    std::vector<service_share> split; // the services that share its traffic; empty: `service` alone
    std::string host;                 // value of the callers' Host header; empty: any
    std::string path;                 // path prefix, for plain and relayed services; empty for model services, which are found by name
    bool allowsAnonymous = false;     // true: callers need no client account
    bool streamed = false;            // true: the response is a stream of numbered events
    std::uint32_t maxAttempts = 0;    // endpoints that may run one request, not counting proven refusals; 0: three retries, unlimited if mustFinish
    bool repeatable = false;          // true: idempotent; may be retried or hedged
    bool mustFinish = false;          // true: continues after the caller disconnects, and is copied to a peer before it is accepted
    bool keyRequired = false;         // true: callers must send an Idempotency-Key
    priority rank = priority::Normal;
    duration firstTokenTarget{};    // from arrival to the first token; zero: no target
    duration betweenTokensTarget{}; // between two consecutive tokens; zero: no target
    duration deadline{};            // from arrival to the end of the response; above zero
    duration queueLimit{};          // maximum time in the queue; zero: half of `deadline`
};

// ---- Version moves ---------------------------------------------------------------------------------------------------------------------

// Moves a service's traffic gradually from one version to another.
struct version_move
{
    std::string service;
    std::string from;              // version that serves before the move
    std::string to;                // version that serves after the move
    time_point startAt{};          // `to` gets no traffic before this time
    time_point doneBy{};           // by this time the move is complete or rolled back
    duration timeLimit{};          // instead of `startAt` and `doneBy`: the move ends this long after the daemons learn of it; zero: the two times hold
    time_point firstSeenAt{};      // with `timeLimit`: when the first daemon to record the move learnt of it, by that daemon's clock; zero: not recorded yet
    std::optional<bool> outcome{}; // set when the move had ended before this daemon learnt of it. True: completed; false: rolled back
    std::uint64_t orderId = 0;     // identifies the operators' command behind the move, the same at every daemon; 0: the move is identified by its times
};

// ---- Placement -------------------------------------------------------------------------------------------------------------------------

enum class instance_class : std::uint8_t {
    Reclaimable,
    OnDemand,
};

struct instance_price
{
    std::string failureDomain;
    instance_class cls = instance_class::Reclaimable;
    double perHour = 0.0;  // per instance and hour, in the operators' currency
    std::string service{}; // the service that the price applies to; empty: all services
};

struct placement_bounds
{
    std::string service;
    std::uint32_t minEndpoints = 0;
    std::uint32_t maxEndpoints = 0; // at least minEndpoints
    bool perDomain = false;         // true: the bounds apply to each failure domain, not to their sum
};

// ---- Callers' limits -------------------------------------------------------------------------------------------------------------------

// Limits on callers' requests and connections. Zero: not set; the daemon's built-in limit applies.
struct caller_limits
{
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
    duration receiveTimeout{}; // to receive the headers and body of one request
    duration idleTimeout{};    // between two requests on a keep-alive connection
};

// ---- The document ----------------------------------------------------------------------------------------------------------------------

struct document
{
    std::vector<service> services;
    std::vector<failure_domain> failureDomains;
    std::vector<client_account> accounts;
    std::vector<contract> routes;
    std::vector<version_move> moves;
    std::vector<instance_price> prices;
    std::vector<placement_bounds> placement;
    caller_limits callers;

    [[nodiscard]] const service *findService(std::string_view name) const; // null when there is none
    [[nodiscard]] const failure_domain *findFailureDomain(std::string_view name) const;
    [[nodiscard]] const client_account *findAccountByTokenHash(std::string_view hash) const;
    [[nodiscard]] const contract *findModelRoute(std::string_view model) const; // route of a model service, by name
    [[nodiscard]] const contract *findPlainRoute(std::string_view path) const;  // the one with the longest matching path prefix
    [[nodiscard]] const contract *findRelayedRoute(
        std::string_view host, std::string_view path) const;                    // of this host, the one with the longest matching path prefix
    [[nodiscard]] const version_move *findMove(std::string_view service) const; // a service has at most one open move
};

// A parsed document with its revision, which orders all documents.
struct revisioned_document
{
    std::uint64_t revision = 0; // 0: no document yet. A daemon only ever adopts a higher revision
    std::uint64_t hash = 0;     // hash of `text`; equal at all daemons that hold the same revision
    std::string text;           // the operators' YAML, byte for byte
    document content;
};

inline constexpr std::size_t maxDocumentBytes = 900 * 1000; // the key-value service accepts values up to 1 MB, including the document's envelope

document parseDocument(std::string_view yaml);               // throws error(InvalidDocument) that lists every error found
using document_reader = document (*)(std::string_view text); // parseDocument, or the reader of another platform's format
revisioned_document makeRevisioned(
    std::uint64_t revision, std::string text, document_reader reader = parseDocument);         // parses and hashes `text`; throws what `reader` throws
std::vector<std::string> documentDifferences(std::string_view before, std::string_view after); // one line for each changed field
std::string documentJson(std::string_view yaml);                                               // the document as JSON, for forms; YAML comments are lost
std::string documentSchema();                                                                  // the published JSON schema
std::string hashToken(std::string_view token);                                                 // SHA-256 in lower-case hex

std::string_view toText(priority rank);
std::string_view toText(instance_class cls);

} // namespace chicoryrouter
