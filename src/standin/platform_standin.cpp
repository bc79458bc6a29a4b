// Implements the simulated instance list, cloud API and weight store.
#include "standin/platform_standin.h"

#include "shell/clock.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace chicoryrouter {

namespace asio = boost::asio;
using nlohmann::json;

namespace {
constexpr duration weightLoadTime = std::chrono::milliseconds(300); // duration of one model load from the weight store
}

platform_standin::platform_standin(worker_pool &workers, std::uint16_t port)
    : m_workers(workers)
    , m_server(workers, {"127.0.0.1", port}, [this](http_exchange &exchange) { return handle(exchange); })
{
}

address platform_standin::listenAddress() const
{
    return {"127.0.0.1", m_server.port()};
}

void platform_standin::add(const instance_record &record, const std::string &token, duration readyAfter)
{
    const std::lock_guard guard(m_lock);
    listed_instance item;
    item.record = record;
    item.visibleFrom = systemNow() + readyAfter;
    item.startToken = token;
    m_list.push_back(item);
}

engine_standin &platform_standin::addEngine(const instance_record &record, engine_options options)
{
    auto engine = std::make_unique<engine_standin>(m_workers, record.id, options);
    instance_record listedRecord = record;
    listedRecord.listenAddress = engine->listenAddress();
    engine_standin &result = *engine;
    {
        const std::lock_guard guard(m_lock);
        m_engines[record.id] = std::move(engine);
    }
    add(listedRecord, "", duration{});
    return result;
}

plain_standin &platform_standin::addPlain(const instance_record &record)
{
    auto plain = std::make_unique<plain_standin>(m_workers, record.id);
    instance_record listedRecord = record;
    listedRecord.listenAddress = plain->listenAddress();
    plain_standin &result = *plain;
    {
        const std::lock_guard guard(m_lock);
        m_plain[record.id] = std::move(plain);
    }
    add(listedRecord, "", duration{});
    return result;
}

void platform_standin::addEntry(const entry_record &entry)
{
    const std::lock_guard guard(m_lock);
    m_entries.push_back(entry);
}

void platform_standin::removeEntry(const std::string &instance)
{
    const std::lock_guard guard(m_lock);
    std::erase_if(m_entries, [&](const entry_record &item) { return item.instance == instance; });
}

engine_standin *platform_standin::engine(const std::string &id)
{
    const std::lock_guard guard(m_lock);
    const auto found = m_engines.find(id);
    return found == m_engines.end() ? nullptr : found->second.get();
}

void platform_standin::reclaim(const std::string &id, duration notice)
{
    {
        const std::lock_guard guard(m_lock);
        for (listed_instance &item : m_list) {
            if (item.record.id == id) {
                item.record.leaving = true;
                item.record.leaveBy = systemNow() + notice;
                item.noticedAt = systemNow();
                item.removedAt = item.record.leaveBy;
            }
        }
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_workers.nextContext(), notice);
    timer->async_wait([this, id, timer](const boost::system::error_code &code) {
        engine_standin *reclaimed = code ? nullptr : engine(id);
        if (reclaimed != nullptr) {
            reclaimed->crash();
        }
    });
}

std::string platform_standin::listText()
{
    const time_point listTime = systemNow() - std::chrono::milliseconds(faults.listLagMillis);
    json instances = json::array();
    json entries = json::array();
    const std::lock_guard guard(m_lock);
    for (const listed_instance &item : m_list) {
        if (listTime < item.visibleFrom || listTime >= item.removedAt) {
            continue;
        }
        const bool leaving = listTime >= item.noticedAt;
        json value
            = {{"id", item.record.id}, {"failure_domain", item.record.failureDomain}, {"class", toText(item.record.cls)}, {"service", item.record.service},
                {"version", item.record.version}, {"ip", item.record.listenAddress.ip}, {"port", item.record.listenAddress.port}, {"leaving", leaving}};
        if (leaving) {
            value["leave_by_us"] = item.record.leaveBy.time_since_epoch().count();
        }
        if (!item.startToken.empty()) {
            value["token"] = item.startToken;
        }
        instances.push_back(std::move(value));
    }
    for (const entry_record &entry : m_entries) {
        entries.push_back({{"instance", entry.instance}, {"failure_domain", entry.failureDomain}, {"ip", entry.peer.ip}, {"port", entry.peer.port}});
    }
    return json({{"instances", instances}, {"entries", entries}}).dump();
}

asio::awaitable<void> platform_standin::handle(http_exchange &exchange)
{
    const http_request &request = exchange.request;
    if (faults.down) {
        exchange.abandon();
    } else if (request.path == "/instances") {
        co_await exchange.respond(200, "application/json", listText());
    } else if (request.path == "/cloud/start") {
        co_await start(exchange);
    } else if (request.path == "/cloud/stop") {
        reclaim(request.parameter("id"), std::chrono::seconds(1));
        co_await exchange.respond(200, "application/json", "{}");
    } else {
        throw error(error_kind::UnknownRoute);
    }
}

asio::awaitable<void> platform_standin::start(http_exchange &exchange)
{
    const json body = json::parse(exchange.request.body, nullptr, false);
    if (faults.refuseStarts > 0) {
        --faults.refuseStarts;
        co_await exchange.respond(409, "application/json", R"({"error":"no capacity"})");
        co_return;
    }
    const std::string token = body.at("token");
    std::string id = "started-" + token;
    if (engine(id) == nullptr) {
        instance_record record;
        record.id = id;
        record.failureDomain = body.at("failure_domain");
        record.cls = body.at("class") == "on_demand" ? instance_class::OnDemand : instance_class::Reclaimable;
        record.service = body.at("service");
        record.version = body.at("version");
        auto engine = std::make_unique<engine_standin>(m_workers, id);
        record.listenAddress = engine->listenAddress();
        duration readyAfter{};
        {
            const std::lock_guard guard(m_lock);
            m_engines[id] = std::move(engine);
            m_weightsFreeAt = std::max(m_weightsFreeAt, systemNow()) + weightLoadTime;
            readyAfter = m_weightsFreeAt - systemNow();
        }
        add(record, token, readyAfter);
        ++m_starts;
    }
    if (faults.loseReplies > 0) {
        --faults.loseReplies;
        exchange.abandon();
        co_return;
    }
    const std::string answer = json({{"id", id}}).dump();
    co_await exchange.respond(200, "application/json", answer);
}

} // namespace chicoryrouter
