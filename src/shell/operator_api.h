// The operator API under /operator/, and the console page. Every call except the page itself requires the operator token.
#pragma once

#include "chicoryrouter/settings.h"
#include "shell/control.h"
#include "shell/gateway.h"
#include "shell/http.h"

namespace chicoryrouter {

class operator_api
{
public:
    operator_api(const settings &config, control &controller, request_host &host, gateway &requestGateway);

    boost::asio::awaitable<void> handle(http_exchange &exchange);

private:
    boost::asio::awaitable<void> getDocument(http_exchange &exchange);
    boost::asio::awaitable<void> putDocument(http_exchange &exchange);
    boost::asio::awaitable<void> checkDocument(http_exchange &exchange);
    boost::asio::awaitable<void> explain(http_exchange &exchange, std::string requestId);
    void authorize(const http_request &request) const;

    settings m_settings;
    control &m_control;
    request_host &m_host;
    gateway &m_gateway;
};

} // namespace chicoryrouter
