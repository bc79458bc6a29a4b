// Endpoint dialects: how requests to endpoints are formatted and how their answers are parsed. Contains the concept that a dialect must
// satisfy, and the function table through which request sessions call it.
//
// A dialect turns an attempt into an HTTP call, and the bytes of a streamed answer into indexed events. Sessions never parse bytes or
// header names themselves. There are two dialects: the model engines' own protocol (engine_client.h), and relayed HTTP, which is defined
// in the platform code.
#pragma once

#include "shell/engine_client.h"
#include "shell/http.h"

#include <concepts>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chicoryrouter {

// Parses one streamed answer. Pass bytes to feed() as they arrive; next() returns each complete event, or nothing if more bytes are needed.
class stream_event_reader
{
public:
    virtual ~stream_event_reader() = default;
    virtual void feed(std::string_view bytes) = 0;
    virtual std::optional<engine_event> next() = 0;                // throws error(EndpointGarbage) on malformed input
    [[nodiscard]] virtual bool isCompleteAtEnd() const = 0;        // after a proper end of the HTTP body: whether that also completes the answer
    [[nodiscard]] virtual std::size_t unfinishedBytes() const = 0; // held of an event that is not whole yet; the caller bounds them
    [[nodiscard]] virtual bool carriesRequestId() const = 0;       // events carry the request id and the attempt number, which the session then checks
};

// What the status and headers of an endpoint's answer say about the request.
struct answer_metadata
{
    bool provesNotRun = false;          // the protocol's signal that the request was not executed, so that it may be sent to another endpoint
    bool belongsToOtherRequest = false; // a late or misdirected answer: its request id is not the one that was sent
    bool namesRequest = true;           // bears the id that was sent; without it, an extra copy can't be told from the answer to any other request
    bool saysLeaving = false;           // the endpoint is about to stop and wants no new requests
    duration asksRest{};                // the endpoint refused the request and wants no other from this daemon for so long; zero: it doesn't say
    std::optional<stated_load> load;    // empty if not stated
};

template<typename T>
concept endpoint_dialect = requires(const request_payload &payload, const engine_call &call, const endpoint &to, int status, const http_headers &headers)
{
    {
        T::modelCall(payload, call, to)
        } -> std::same_as<http_call>;
    {
        T::plainCall(payload, call, to)
        } -> std::same_as<http_call>;
    {
        T::readAnswer(status, headers, std::string_view{})
        } -> std::same_as<answer_metadata>;
    {
        T::newReader(call)
        } -> std::same_as<std::unique_ptr<stream_event_reader>>;
    {
        T::relaysAnswers
        } -> std::convertible_to<bool>;
};

// The functions of a dialect as pointers, so that request_session need not be a template.
struct dialect_table
{
    http_call (*modelCall)(const request_payload &, const engine_call &, const endpoint &) = nullptr;
    http_call (*plainCall)(const request_payload &, const engine_call &, const endpoint &) = nullptr;
    answer_metadata (*readAnswer)(int status, const http_headers &, std::string_view requestId) = nullptr;
    std::unique_ptr<stream_event_reader> (*newReader)(const engine_call &) = nullptr;
    bool relaysAnswers = false; // status, headers and body of the answer are returned to the caller unchanged
};

template<endpoint_dialect D>
const dialect_table &dialectTable()
{
    static constexpr dialect_table table{&D::modelCall, &D::plainCall, &D::readAnswer, &D::newReader, D::relaysAnswers};
    return table;
}

// The protocol of the model engines.
struct engine_dialect
{
    static constexpr bool relaysAnswers = false;
    static http_call modelCall(const request_payload &payload, const engine_call &call, const endpoint &to);
    static http_call plainCall(const request_payload &payload, const engine_call &call, const endpoint &to);
    static answer_metadata readAnswer(int status, const http_headers &headers, std::string_view requestId);
    static std::unique_ptr<stream_event_reader> newReader(const engine_call &call);
};

} // namespace chicoryrouter
