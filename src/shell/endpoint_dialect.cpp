// The dialect for the protocol of the model engines.
#include "shell/endpoint_dialect.h"

namespace chicoryrouter {

namespace {

class engine_reader : public stream_event_reader
{
public:
    void feed(std::string_view bytes) override { m_events.feed(bytes); }
    std::optional<engine_event> next() override { return m_events.next(); }
    [[nodiscard]] bool isCompleteAtEnd() const override { return false; } // an answer is complete only after an event with `done`
    [[nodiscard]] std::size_t unfinishedBytes() const override { return m_events.unfinishedBytes(); }
    [[nodiscard]] bool carriesRequestId() const override { return true; }

private:
    engine_event_reader m_events;
};

} // namespace

http_call engine_dialect::modelCall(const request_payload &payload, const engine_call &call, const endpoint &)
{
    return engineRequest(payload, call);
}

http_call engine_dialect::plainCall(const request_payload &payload, const engine_call &call, const endpoint &)
{
    return plainRequest(payload, call);
}

answer_metadata engine_dialect::readAnswer(int status, const http_headers &headers, std::string_view requestId)
{
    answer_metadata facts;
    const std::string_view echoed = findHeader(headers, "X-Request-Id");
    facts.provesNotRun = provesNotRun(status, headers);
    facts.belongsToOtherRequest = !echoed.empty() && echoed != requestId;
    return facts;
}

std::unique_ptr<stream_event_reader> engine_dialect::newReader(const engine_call &)
{
    return std::make_unique<engine_reader>();
}

} // namespace chicoryrouter
