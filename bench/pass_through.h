// The baseline for plain requests: an HTTP relay written with the same libraries and nothing else, one kept connection pool per thread.
#pragma once

#include "shell/http.h"
#include "shell/worker_pool.h"

#include <map>
#include <memory>
#include <mutex>

namespace chicoryrouter::bench {

class pass_through
{
public:
    pass_through(worker_pool &workers, address to)
        : m_to(std::move(to))
        , m_server(workers, {"127.0.0.1", 0}, [this](http_exchange &exchange) { return relay(exchange); })
    {
    }

    [[nodiscard]] address where() const { return {"127.0.0.1", m_server.port()}; }

private:
    boost::asio::awaitable<void> relay(http_exchange &exchange)
    {
        thread_local std::unique_ptr<http_client> client;
        if (client == nullptr) {
            client = std::make_unique<http_client>(exchange.executor());
        }
        http_call call;
        call.method = exchange.request.method;
        call.target = exchange.request.path;
        call.body = exchange.request.body;
        http_response response = co_await client->call(m_to, std::move(call), noDeadline, 8 * 1024 * 1024);
        co_await exchange.respond(response.status, std::string(findHeader(response.headers, "Content-Type")), std::move(response.body));
    }

    address m_to;
    http_server m_server;
};

} // namespace chicoryrouter::bench
