// What endpoints are told and how their answers are read: a concept, and the table that the request sessions call through.
//
// A dialect turns one attempt into an HTTP call, and the bytes of a streamed answer into pieces with an index. Sessions never look at
// bytes or header names themselves. Two dialects exist: the engines' own (engine_client.h) and the one of relayed HTTP, which lives
// beside the platform that speaks it.
#pragma once

#include "shell/engine_client.h"
#include "shell/http.h"

#include <concepts>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chicoryrouter {

// Reads one streamed answer. Feed bytes as they come; next() gives the pieces that are whole.
class stream_event_reader
{
public:
    virtual ~stream_event_reader() = default;
    virtual void feed(std::string_view bytes) = 0;
    virtual std::optional<engine_event> next() = 0;       // throws error(EndpointGarbage) on what is no piece
    [[nodiscard]] virtual bool isCompleteAtEnd() const = 0;    // the transport ended the answer properly: was it all of it?
    [[nodiscard]] virtual bool carriesRequestId() const = 0; // pieces carry request id and attempt, which are then checked
};

// What an endpoint's answer says beside its bytes.
struct answer_metadata
{
    bool provesNotRun = false;              // in the agreed way, so that the request may be sent elsewhere
    bool belongsToOtherRequest = false;          // a late or crossed answer
    std::optional<std::uint32_t> openRequests; // requests the endpoint holds, running and waiting
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

// The same as functions, so that one session type serves every dialect.
struct dialect_table
{
    http_call (*modelCall)(const request_payload &, const engine_call &, const endpoint &) = nullptr;
    http_call (*plainCall)(const request_payload &, const engine_call &, const endpoint &) = nullptr;
    answer_metadata (*readAnswer)(int status, const http_headers &, std::string_view requestId) = nullptr;
    std::unique_ptr<stream_event_reader> (*newReader)(const engine_call &) = nullptr;
    bool relaysAnswers = false; // status, headers and bytes of the answer belong to the caller as they are
};

template<endpoint_dialect D>
const dialect_table &dialectTable()
{
    static constexpr dialect_table table{&D::modelCall, &D::plainCall, &D::readAnswer, &D::newReader, D::relaysAnswers};
    return table;
}

// The engines' own protocol.
struct engine_dialect
{
    static constexpr bool relaysAnswers = false;
    static http_call modelCall(const request_payload &payload, const engine_call &call, const endpoint &to);
    static http_call plainCall(const request_payload &payload, const engine_call &call, const endpoint &to);
    static answer_metadata readAnswer(int status, const http_headers &headers, std::string_view requestId);
    static std::unique_ptr<stream_event_reader> newReader(const engine_call &call);
};

} // namespace chicoryrouter
