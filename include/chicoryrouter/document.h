// The document: the whole intended configuration, as operators write it and as the platform's key-value service holds it.
//
// Index
//   services and versions . failure domains . client accounts . contracts (routes) . version moves . placement . callers' limits .
//   reading and comparing
//
// A document is a value: it is read once, checked as a whole, and never changed. A new one with a higher revision takes its place.
// The published schema is schema/document.schema.json; what a schema cannot say (references, sums) is checked by parseDocument.
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
    Model, // huge model endpoints: streamed tokens, prefix reuse, resumption
    Plain, // ordinary HTTP services beside them
};

struct version_spec
{
    std::string name;                     // unique within its service
    std::uint32_t initialConcurrency = 1; // requests a fresh endpoint bears before it has completed any; at least 1
    std::uint32_t maxConcurrency = 8;     // requests a warm endpoint bears; at least initialConcurrency
    bool refusesOldFencing = true;        // false: the engine obeys an order with an old fencing number too
};

struct service
{
    std::string name; // unique
    service_kind kind = service_kind::Plain;
    std::string currentVersion;         // the version all traffic goes to when no move is open
    std::vector<version_spec> versions; // at least one, unless `anyVersion`
    bool anyVersion = false;            // versions come with their endpoints: each may serve until a move takes it back
    version_spec versionDefaults;       // anyVersion only: what an endpoint bears that does not state it itself
    std::uint32_t maxConnections = 0;   // one endpoint accepts from all entry instances together; 0: not stated
    double coldRequestsPerSecond = 0.0; // requests a second that a cold endpoint bears, over all entry instances; 0: not stated
};

// ---- Failure domains -------------------------------------------------------------------------------------------------------------------

struct failure_domain
{
    std::string name; // unique
    std::string region;
    bool disabled = false; // true: taken out by operators; gets no new work
};

// How urgent work is.
enum class priority : std::uint8_t {
    Prompt, // a person waits for the first token
    Normal,
    Long, // may wait, must finish
    Count,
};

// ---- Client accounts -------------------------------------------------------------------------------------------------------------------

struct client_account
{
    std::string name;                     // unique
    double weight = 1.0;                  // share of a full service, relative to other accounts; above 0
    std::uint32_t maxInFlight = 0;        // requests open at once, over all entry instances; at least 1
    std::vector<std::string> tokenHashes; // SHA-256 of each bearer token, in lower-case hex; the tokens themselves are never stored
    std::optional<priority> rank{};       // goes before the route's when it is set
    double tokensPerSecond = 0.0;         // prompt and output tokens over all entry instances; 0: no limit
    double tokenBurst = 0.0;              // tokens on top of the rate, after a quiet spell
    std::uint32_t tokensPerPlainCall = 0; // what a call counts that states no tokens
};

// ---- Contracts -------------------------------------------------------------------------------------------------------------------------

// One service's part of a route whose traffic is divided.
struct service_share
{
    std::string service;
    std::uint32_t weight = 0; // relative to the other parts
};

// What a route promises its callers. The spans are promises relative to a request's arrival; a request stores the deadlines made of them.
struct contract
{
    std::string route;                // unique name; for model services also the `model` callers ask for
    std::string service;              // name of the service behind it
    std::vector<service_share> split; // the services behind it when there are several; empty: `service` alone
    std::string host;                 // the Host that callers name; empty: any
    std::string path;                 // plain services and relayed ones: path prefix; empty for model services by name
    bool allowsAnonymous = false;     // true: needs no client account
    bool streamed = false;            // true: the answer is a stream of numbered events
    std::uint32_t maxAttempts = 0;    // endpoints that may run one request; 0: three retries at most
    bool repeatable = false;          // true: idempotent, may be sent again or hedged
    bool mustFinish = false;          // true: goes on although the caller left, and is copied to a peer before it is accepted
    bool keyRequired = false;         // true: callers must send an Idempotency-Key
    priority rank = priority::Normal;
    duration firstTokenTarget{};    // from arrival to the first token; zero: none stated
    duration betweenTokensTarget{}; // between two tokens; zero: none stated
    duration deadline{};            // from arrival to the whole answer; above zero
    duration queueLimit{};          // longest wait before sending; zero: half of `deadline`
};

// ---- Version moves ---------------------------------------------------------------------------------------------------------------------

struct version_move
{
    std::string service;
    std::string from;              // version that serves now
    std::string to;                // version that should serve
    time_point startAt{};          // no share before this moment
    time_point doneBy{};           // by this moment the move is done or taken back
    duration timeLimit{};          // where no moment is stated: the move is to be over so long after the daemons learn of it; zero: see above
    time_point firstSeenAt{};      // with `lasts`: when the first daemon that recorded the move learnt of it, by its clock; zero: not recorded yet
    std::optional<bool> outcome{}; // already decided before this daemon learnt of it: true, done; false, taken back
    std::uint64_t orderId = 0;     // the operators' order that it comes from, the same at every daemon; 0: identified by its dates
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
    double perHour = 0.0;  // in the operators' currency
    std::string service{}; // the one it holds for; empty: all
};

struct placement_bounds
{
    std::string service;
    std::uint32_t minEndpoints = 0;
    std::uint32_t maxEndpoints = 0; // at least minEndpoints
    bool perDomain = false;         // the bounds hold for each failure domain, not for all together
};

// ---- Callers' limits -------------------------------------------------------------------------------------------------------------------

// What callers may send, and how long they may take or stay idle. Zero: nothing is stated, and the daemon's own bound holds.
struct caller_limits
{
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
    duration receiveTimeout{}; // headers and body of one request
    duration idleTimeout{};    // between two requests of a kept connection
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
    [[nodiscard]] const contract *findModelRoute(std::string_view model) const;                         // route of a model service by name
    [[nodiscard]] const contract *findPlainRoute(std::string_view path) const;                          // longest matching path prefix
    [[nodiscard]] const contract *findRelayedRoute(std::string_view host, std::string_view path) const; // of this host, longest matching path prefix
    [[nodiscard]] const version_move *findMove(std::string_view service) const;                         // a service has at most one open move
};

// A document as it is in force: with its place in the order of all documents.
struct revisioned_document
{
    std::uint64_t revision = 0; // 0: none yet. Only a higher revision is ever adopted
    std::uint64_t hash = 0;     // of `text`; two daemons with the same revision must have the same hash
    std::string text;           // the operators' YAML, byte for byte
    document content;
};

inline constexpr std::size_t maxDocumentBytes = 900 * 1000; // the key-value service holds values up to 1 MB; the rest is envelope

document parseDocument(std::string_view yaml);               // throws error(InvalidDocument) naming every fault
using document_reader = document (*)(std::string_view text); // parseDocument, or a platform's own
revisioned_document makeRevisioned(std::uint64_t revision, std::string text, document_reader reader = parseDocument); // read and hash; same errors
std::vector<std::string> documentDifferences(std::string_view before, std::string_view after);                        // one line for each changed field
std::string documentJson(std::string_view yaml); // the same document as JSON, for forms; comments are lost
std::string documentSchema();                    // the published JSON schema
std::string hashToken(std::string_view token);   // SHA-256 in lower-case hex

std::string_view toText(priority rank);
std::string_view toText(instance_class cls);

} // namespace chicoryrouter
