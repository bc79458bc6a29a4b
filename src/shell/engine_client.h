// HTTP requests to endpoints, and the parsing of their answers: a streamed generation by a model engine, or a single call to a plain
// service. docs/STANDINS.md specifies the engines' protocol.
#pragma once

#include "chicoryrouter/request_machine.h"
#include "shell/http.h"

#include <optional>
#include <string>

namespace chicoryrouter {

// The content of a caller's request, as received.
struct request_payload
{
    // Model services
    std::string prompt;
    std::uint32_t maxTokens = 0;
    bool chat = false;   // answer in the format of the chat completions API
    bool stream = false; // answer as server-sent events
    // Plain services, and relayed calls of either kind
    std::string method;
    std::string target;
    std::string host; // relayed calls only; without a port
    std::string path; // relayed calls only; `target` without its query
    std::string contentType;
    http_headers headers; // relayed calls only: the headers to forward, in their original order
    std::string body;
    std::string resumeOffset; // relayed streams only: the offset from which the caller resumes its stream; empty to start at the beginning
    // Calls that must not be executed twice
    std::string idempotencyKey;
    std::uint64_t bodyHash = 0;
};

// One event of an engine's stream.
struct engine_event
{
    std::string requestId;
    std::uint32_t attempt = 0;
    std::uint32_t index = 0; // of the token; if `done` is set, the number of tokens in the whole answer
    std::string token;
    bool done = false;
};

// Splits an engine's answer into events. Pass bytes to feed() as they arrive. next() returns nothing if more bytes are needed, and throws
// error(EndpointGarbage) on malformed input.
class engine_event_reader
{
public:
    void feed(std::string_view bytes);
    std::optional<engine_event> next();
    [[nodiscard]] std::size_t unfinishedBytes() const { return m_buffer.size() - m_consumed; } // of a line that is not whole yet

private:
    std::string m_buffer;       // unparsed input; an unfinished line longer than maxLineBytes is an error
    std::size_t m_consumed = 0; // bytes of m_buffer already returned as events
};

// One attempt at an endpoint.
struct engine_call
{
    std::string requestId;
    std::uint32_t attempt = 0;
    priority rank = priority::Normal;
    std::optional<std::uint8_t> order; // endpointOrder() while load control is on; empty: the rank orders
    std::uint32_t resumeFrom = 0;      // number of tokens that earlier attempts generated; 0 starts from the beginning
    std::string_view resumeText;       // the text of those tokens
    bool withTransferredKv = false;    // the request's KV cache was imported into this endpoint
    std::uint32_t firstEventIndex = 0; // the number that the first endpoint gave to the stream's first event
    time_point deadline = noDeadline;  // for the whole request, not only this attempt
    std::string account{};
};

http_call engineRequest(const request_payload &payload, const engine_call &call); // request to generate tokens
http_call plainRequest(const request_payload &payload, const engine_call &call);
http_call kvExportRequest(std::string_view requestId, std::uint32_t attempt);
http_call kvImportRequest(std::string_view requestId, std::string blob);
// Whether the answer carries the protocol's signal that the request was not executed: status 503 with X-Not-Run: 1.
bool provesNotRun(int status, const http_headers &headers);

} // namespace chicoryrouter
