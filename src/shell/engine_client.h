// Attempts at endpoints: a streamed generation at a model engine, or one call of a plain service. The engines' protocol is written down
// in docs/STANDINS.md.
#pragma once

#include "chicoryrouter/request_machine.h"
#include "shell/http.h"

#include <optional>
#include <string>

namespace chicoryrouter {

// What one request asks of its service, as received.
struct request_payload
{
    // Model services
    std::string prompt;
    std::uint32_t maxTokens = 0;
    bool chat = false;   // answer in the chat form
    bool stream = false; // answer as server-sent events
    // Plain services, and relayed calls of either kind
    std::string method;
    std::string target;
    std::string host; // relayed calls only; without a port
    std::string path; // relayed calls only; `target` without its query
    std::string contentType;
    http_headers headers; // relayed calls only: what is passed on, in order
    std::string body;
    std::string resumeOffset; // relayed streams only: where the caller wants its stream gone on with; empty: from its start
    // Calls that may not repeat
    std::string idempotencyKey;
    std::uint64_t bodyHash = 0;
};

// One event of an engine's stream.
struct engine_event
{
    std::string requestId;
    std::uint32_t attempt = 0;
    std::uint32_t index = 0; // of the token; with `done`, the number of tokens in the whole answer
    std::string token;
    bool done = false;
};

// Splits an engine's answer into events. Feed bytes as they come; throws error(EndpointGarbage) on what is no event.
class engine_event_reader
{
public:
    void feed(std::string_view bytes);
    std::optional<engine_event> next();

private:
    std::string m_buffer;   // at most one unfinished line, bounded by maxLineBytes
    std::size_t m_consumed = 0; // bytes of m_buffer already given out
};

struct engine_call
{
    std::string requestId;
    std::uint32_t attempt = 0;
    priority rank = priority::Normal;
    std::uint32_t resumeFrom = 0; // tokens that exist already
    std::string_view resumeText;  // their text
    bool withTransferredKv = false;
    std::uint32_t firstEventIndex = 0;     // number that the endpoints gave to the stream's first piece
    time_point deadline = noDeadline; // of the whole request
    std::string account{};
};

http_call engineRequest(const request_payload &payload, const engine_call &call); // generation request
http_call plainRequest(const request_payload &payload, const engine_call &call);
http_call kvExportRequest(std::string_view requestId, std::uint32_t attempt);
http_call kvImportRequest(std::string_view requestId, std::string blob);
bool provesNotRun(int status, const http_headers &headers); // the endpoint says so in the agreed way

} // namespace chicoryrouter
