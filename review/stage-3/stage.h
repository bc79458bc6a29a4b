// Small stand-ins on loopback for the cases of this review: the platform's store and duty API, replicas whose bytes a case writes itself, and a
// client. The router is started as a process of its own, with a settings file as the deploy template renders it. No code of the project is used.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace stage {

using nlohmann::json;
using namespace std::chrono_literals;
using clock_type = std::chrono::steady_clock;

inline void sleepFor(std::chrono::milliseconds span)
{
    std::this_thread::sleep_for(span);
}

// ---- Record ----------------------------------------------------------------------------------------------------------------------------

// What was sent, answered and run, one line each, with the milliseconds since the start.
class record
{
public:
    explicit record(const std::string &path)
        : m_out(path)
        , m_start(clock_type::now())
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard guard(m_lock);
        const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - m_start).count();
        m_out << at << " ms  " << text << "\n" << std::flush;
    }

private:
    std::mutex m_lock;
    std::ofstream m_out;
    clock_type::time_point m_start;
};

// ---- Sockets and HTTP ------------------------------------------------------------------------------------------------------------------

struct http_message
{
    std::string firstLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] std::string method() const { return firstLine.substr(0, firstLine.find(' ')); }
    [[nodiscard]] std::string target() const
    {
        const auto first = firstLine.find(' ');
        return firstLine.substr(first + 1, firstLine.rfind(' ') - first - 1);
    }
    [[nodiscard]] int status() const { return firstLine.size() > 12 ? std::atoi(firstLine.c_str() + 9) : 0; }
};

class connection
{
public:
    explicit connection(int handle)
        : m_handle(handle)
    {
        const int on = 1;
        setsockopt(m_handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~connection() { end(); }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    bool send(const std::string &bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(m_handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    // False: the end, an error, or nothing within the time.
    bool fill(std::chrono::milliseconds within)
    {
        pollfd item{m_handle, POLLIN, 0};
        if (::poll(&item, 1, static_cast<int>(within.count())) <= 0) {
            return false;
        }
        char buffer[65536];
        const ssize_t count = ::recv(m_handle, buffer, sizeof(buffer), 0);
        m_ended = m_ended || count <= 0;
        if (count > 0) {
            input.append(buffer, static_cast<std::size_t>(count));
        }
        return count > 0;
    }

    // The next message. `noBody`: an answer to HEAD. nullopt: none that is whole came in time; what came is in `input`.
    std::optional<http_message> read(std::chrono::milliseconds within, bool noBody = false)
    {
        const auto until = clock_type::now() + within;
        const auto more = [&] {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - clock_type::now());
            return left > 0ms && fill(left);
        };
        std::size_t headEnd = std::string::npos;
        while ((headEnd = input.find("\r\n\r\n")) == std::string::npos) {
            if (!more()) {
                return std::nullopt;
            }
        }
        http_message message;
        std::size_t at = input.find("\r\n");
        message.firstLine = input.substr(0, at);
        while (at < headEnd) {
            const std::size_t begin = at + 2;
            at = input.find("\r\n", begin);
            const std::string text = input.substr(begin, at - begin);
            const std::size_t colon = text.find(':');
            if (colon != std::string::npos) {
                const std::size_t from = text.find_first_not_of(' ', colon + 1);
                message.headers.emplace_back(text.substr(0, colon), from == std::string::npos ? std::string() : text.substr(from));
            }
        }
        std::size_t next = headEnd + 4;
        if (noBody) {
            input.erase(0, next);
            return message;
        }
        if (message.header("Transfer-Encoding") == "chunked") {
            while (true) {
                std::size_t lineEnd = std::string::npos;
                while ((lineEnd = input.find("\r\n", next)) == std::string::npos) {
                    if (!more()) {
                        return std::nullopt;
                    }
                }
                const std::size_t size = std::stoul(input.substr(next, lineEnd - next), nullptr, 16);
                while (input.size() < lineEnd + 2 + size + 2) {
                    if (!more()) {
                        return std::nullopt;
                    }
                }
                message.body += input.substr(lineEnd + 2, size);
                next = lineEnd + 2 + size + 2;
                if (size == 0) {
                    break;
                }
            }
        } else {
            const std::string length = message.header("Content-Length");
            const std::size_t size = length.empty() ? 0 : std::stoul(length);
            while (input.size() < next + size) {
                if (!more()) {
                    return std::nullopt;
                }
            }
            message.body = input.substr(next, size);
            next += size;
        }
        input.erase(0, next);
        return message;
    }

    void end()
    {
        if (m_handle >= 0) {
            ::close(m_handle);
        }
        m_handle = -1;
    }
    void reset()
    {
        const linger now{1, 0};
        setsockopt(m_handle, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        end();
    }
    void shutdown() const { ::shutdown(m_handle, SHUT_RDWR); }
    [[nodiscard]] bool ended() const { return m_ended; }

    std::string input; // received and not yet read

private:
    int m_handle;
    bool m_ended = false;
};

inline sockaddr_in place(std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    result.sin_port = htons(port);
    return result;
}

inline std::unique_ptr<connection> connectTo(std::uint16_t port)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in to = place(port);
    if (::connect(handle, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0) {
        ::close(handle);
        return nullptr;
    }
    return std::make_unique<connection>(handle);
}

// Listens on a free loopback port; each connection has a thread of its own.
class listener
{
public:
    using conversation = std::function<void(connection &)>;

    explicit listener(conversation talk)
        : m_talk(std::move(talk))
        , m_handle(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in at = place(0);
        socklen_t size = sizeof(at);
        ::bind(m_handle, reinterpret_cast<const sockaddr *>(&at), sizeof(at));
        ::listen(m_handle, 256);
        ::getsockname(m_handle, reinterpret_cast<sockaddr *>(&at), &size);
        m_port = ntohs(at.sin_port);
        m_accepting = std::thread([this] { accept(); });
    }

    ~listener()
    {
        m_stopping = true;
        ::shutdown(m_handle, SHUT_RDWR);
        m_accepting.join();
        ::close(m_handle);
        {
            const std::lock_guard guard(m_lock);
            for (const auto &item : m_open) {
                item->shutdown();
            }
        }
        for (std::thread &item : m_talking) {
            item.join();
        }
    }
    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_port; }
    [[nodiscard]] bool stopping() const { return m_stopping; }

private:
    void accept()
    {
        while (!m_stopping) {
            const int handle = ::accept4(m_handle, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0) {
                continue;
            }
            const auto item = std::make_shared<connection>(handle);
            const std::lock_guard guard(m_lock);
            m_open.push_back(item);
            m_talking.emplace_back([this, item] {
                m_talk(*item);
                const std::lock_guard inner(m_lock);
                m_open.remove(item);
                item->end();
            });
        }
    }

    conversation m_talk;
    int m_handle;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_stopping{false};
    std::mutex m_lock;
    std::list<std::shared_ptr<connection>> m_open;
    std::list<std::thread> m_talking;
    std::thread m_accepting;
};

inline std::string answerText(int status, const std::string &extraHeaders, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + extraHeaders + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string chunk(const std::string &bytes)
{
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

inline const std::string lastChunk = "0\r\n\r\n";

// ---- The platform's store --------------------------------------------------------------------------------------------------------------

inline std::string encodeBase64(const std::string &bytes)
{
    static const char *const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j) {
            group = (group << 8U) | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += j <= count ? letters[(group >> (18 - 6 * j)) & 63U] : '=';
        }
    }
    return text;
}

inline std::string decodeBase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char letter : text) {
        int value = -1;
        if (letter >= 'A' && letter <= 'Z') {
            value = letter - 'A';
        } else if (letter >= 'a' && letter <= 'z') {
            value = letter - 'a' + 26;
        } else if (letter >= '0' && letter <= '9') {
            value = letter - '0' + 52;
        } else if (letter == '+') {
            value = 62;
        } else if (letter == '/') {
            value = 63;
        }
        if (value < 0) {
            continue;
        }
        group = (group << 6U) | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>((group >> static_cast<unsigned>(bits)) & 255U);
        }
    }
    return bytes;
}

// The store as the platform's page tells it: items, leases, conditions, watches. It loses nothing that it has acknowledged.
class store
{
public:
    // What becomes of a transaction of the system: done and answered, or done so much later with its answer lost.
    std::function<std::chrono::milliseconds(const json &)> lateBy;

    explicit store(record &log)
        : m_log(log)
        , m_expiring([this] { expire(); })
        , m_listener([this](connection &item) { talk(item); })
    {
    }
    ~store()
    {
        m_stopping = true;
        m_changed.notify_all();
        m_expiring.join();
        for (std::thread &item : m_late) {
            item.join();
        }
    }

    [[nodiscard]] std::uint16_t port() const { return m_listener.port(); }

    void put(const std::string &key, const json &value) { putText(key, value.dump()); }
    void putText(const std::string &key, const std::string &value)
    {
        const std::lock_guard guard(m_lock);
        write(key, encodeBase64(value), 0);
    }
    void remove(const std::string &key)
    {
        const std::lock_guard guard(m_lock);
        erase(key);
    }

    // For drills: answers state the era from the first call on.
    void stateEra() { m_statesEra = true; }
    void takeCopy()
    {
        const std::lock_guard guard(m_lock);
        m_copy = m_now;
    }
    void goAway() { m_away = true; } // calls find their connection closed
    // The copy is the store from now on, without leases and what was under them.
    void comeBackFromCopy()
    {
        const std::lock_guard guard(m_lock);
        m_now = m_copy;
        std::erase_if(m_now.items, [](const auto &each) { return each.second.lease != 0; });
        m_now.leases.clear();
        ++m_era;
        m_away = false;
        m_changed.notify_all();
    }
    std::uint64_t revision()
    {
        const std::lock_guard guard(m_lock);
        return m_now.revision;
    }
    std::string value(const std::string &key)
    {
        const std::lock_guard guard(m_lock);
        const auto found = m_now.items.find(key);
        return found == m_now.items.end() ? std::string() : decodeBase64(found->second.value);
    }

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t createdAt = 0;
        std::uint64_t lease = 0;
    };
    struct lease
    {
        clock_type::time_point until;
        std::chrono::milliseconds term;
    };

    json itemJson(const std::string &key, const item &held) const
    {
        return {{"Key", key}, {"Value", held.value}, {"Revision", held.revision}, {"CreatedAt", held.createdAt}, {"Lease", held.lease}};
    }

    void write(const std::string &key, const std::string &encoded, std::uint64_t leaseId)
    {
        item &held = m_now.items[key];
        held.value = encoded;
        held.revision = ++m_now.revision;
        held.createdAt = held.createdAt == 0 ? held.revision : held.createdAt;
        held.lease = leaseId;
        m_now.changes.push_back(itemJson(key, held));
        m_changed.notify_all();
    }

    void erase(const std::string &key)
    {
        if (m_now.items.erase(key) > 0) {
            m_now.changes.push_back({{"Key", key}, {"Revision", ++m_now.revision}, {"Deleted", true}});
            m_changed.notify_all();
        }
    }

    void endLease(std::uint64_t id)
    {
        std::vector<std::string> gone;
        for (const auto &[key, held] : m_now.items) {
            if (held.lease == id) {
                gone.push_back(key);
            }
        }
        for (const std::string &key : gone) {
            erase(key);
        }
        m_now.leases.erase(id);
    }

    void expire()
    {
        while (!m_stopping) {
            {
                const std::lock_guard guard(m_lock);
                std::vector<std::uint64_t> over;
                for (const auto &[id, held] : m_now.leases) {
                    if (held.until < clock_type::now()) {
                        over.push_back(id);
                    }
                }
                for (const std::uint64_t id : over) {
                    endLease(id);
                }
            }
            sleepFor(20ms);
        }
    }

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const std::size_t mark = target.find('?');
        std::string rest = mark == std::string::npos ? std::string() : target.substr(mark + 1);
        while (!rest.empty()) {
            const std::string part = rest.substr(0, rest.find('&'));
            rest.erase(0, part.size() + 1);
            if (part.compare(0, name.size() + 1, name + "=") == 0) {
                std::string plain;
                for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
                    const bool coded = part[i] == '%' && i + 2 < part.size();
                    plain += coded ? static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16)) : part[i];
                    i += coded ? 2 : 0;
                }
                return plain;
            }
        }
        return {};
    }

    // With the lock held.
    std::pair<int, json> change(const json &body)
    {
        json now = json::array();
        bool holds = true;
        for (const json &row : body.value("ExpectedRev", json::array())) {
            const std::string key = row.at("Key");
            const auto found = m_now.items.find(key);
            const std::uint64_t revision = found == m_now.items.end() ? 0 : found->second.revision;
            holds = holds && revision == row.at("Revision").get<std::uint64_t>();
            if (found != m_now.items.end()) {
                now.push_back(itemJson(key, found->second));
            }
        }
        if (!holds) {
            return {412, {{"Items", now}}};
        }
        for (const json &row : body.value("Writes", json::array())) {
            const std::uint64_t id = row.value("Lease", std::uint64_t{0});
            if (id != 0 && m_now.leases.count(id) == 0) {
                return {404, json::object()};
            }
        }
        for (const json &row : body.value("Writes", json::array())) {
            write(row.at("Key"), row.at("Value"), row.value("Lease", std::uint64_t{0}));
        }
        for (const json &row : body.value("Remove", json::array())) {
            erase(row);
        }
        return {200, {{"Revision", m_now.revision}}};
    }

    void logChange(const json &body, int status, const std::string &how)
    {
        for (const json &row : body.value("Writes", json::array())) {
            const std::string key = row.at("Key");
            m_log.line("store: the system writes " + key + " = " + decodeBase64(row.at("Value")) + " -> " + std::to_string(status) + how);
        }
    }

    void talk(connection &item)
    {
        while (const std::optional<http_message> call = item.read(600s)) {
            if (m_away) {
                return;
            }
            const std::string target = call->target();
            const std::string path = target.substr(0, target.find('?'));
            const std::uint64_t era = currentEra();
            json answer = json::object();
            int status = 200;
            if (path == "/api/kv-watch") {
                std::tie(status, answer) = watch(target);
            } else if (path == "/api/kv-txn") {
                const json body = json::parse(call->body);
                const std::chrono::milliseconds late = lateBy ? lateBy(body) : 0ms;
                if (late > 0ms) {
                    logChange(body, 0, " (executed " + std::to_string(late.count()) + " ms later, its answer is lost)");
                    const std::lock_guard guard(m_lock);
                    m_late.emplace_back([this, body, late] {
                        sleepFor(late);
                        const std::lock_guard inner(m_lock);
                        logChange(body, change(body).first, " (the late one)");
                    });
                    while (item.fill(600s)) { // a connection on which an answer is lost returns nothing further
                    }
                    return;
                }
                const std::lock_guard guard(m_lock);
                std::tie(status, answer) = change(body);
                logChange(body, status, "");
            } else {
                const std::lock_guard guard(m_lock);
                std::tie(status, answer) = simple(path, target, *call);
            }
            if (m_away || era != currentEra()) {
                return; // the store has gone away meanwhile
            }
            const std::string eraHeader = m_statesEra ? "Store-Era: " + std::to_string(era) + "\r\n" : "";
            if (!item.send(answerText(status, "Content-Type: application/json\r\n" + eraHeader, answer.dump()))) {
                return;
            }
        }
    }

    std::uint64_t currentEra()
    {
        const std::lock_guard guard(m_lock);
        return m_era;
    }

    std::pair<int, json> watch(const std::string &target)
    {
        const std::string prefix = parameter(target, "Prefix");
        const std::uint64_t after = std::stoull(parameter(target, "After"));
        const auto until = clock_type::now() + std::chrono::milliseconds(std::stoll(parameter(target, "WaitMs")));
        std::unique_lock guard(m_lock);
        const std::uint64_t era = m_era;
        if (after > m_now.revision) {
            return {410, json::object()};
        }
        while (true) {
            json events = json::array();
            for (const json &each : m_now.changes) {
                const std::string key = each.at("Key");
                if (each.at("Revision").get<std::uint64_t>() > after && key.compare(0, prefix.size(), prefix) == 0) {
                    events.push_back(each);
                }
            }
            if (!events.empty() || m_stopping || era != m_era || m_changed.wait_until(guard, until) == std::cv_status::timeout) {
                return {200, {{"events", events}, {"At", m_now.revision}}};
            }
        }
    }

    std::pair<int, json> simple(const std::string &path, const std::string &target, const http_message &call)
    {
        if (path == "/api/kv-range") {
            const std::string prefix = parameter(target, "Prefix");
            const std::string after = parameter(target, "After");
            json items = json::array();
            for (const auto &[key, held] : m_now.items) {
                if (key.compare(0, prefix.size(), prefix) == 0 && key > after) {
                    items.push_back(itemJson(key, held));
                }
            }
            return {200, {{"Items", items}, {"HasMore", false}, {"At", m_now.revision}}};
        }
        if (path == "/api/kv-lease") {
            const std::chrono::milliseconds term(json::parse(call.body).at("TtlMs").get<std::int64_t>());
            m_now.leases[++m_now.lastLease] = {clock_type::now() + term, term};
            return {200, {{"Lease", m_now.lastLease}, {"TtlMs", term.count()}}};
        }
        const std::uint64_t id = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        const auto found = m_now.leases.find(id);
        if (found == m_now.leases.end()) {
            return {404, json::object()};
        }
        if (path.rfind("/api/kv-keep/", 0) == 0) {
            found->second.until = clock_type::now() + found->second.term;
            return {200, {{"TtlMs", found->second.term.count()}}};
        }
        endLease(id);
        return {200, json::object()};
    }

    struct content
    {
        std::map<std::string, item> items;
        std::vector<json> changes;
        std::map<std::uint64_t, lease> leases;
        std::uint64_t revision = 10;
        std::uint64_t lastLease = 1000;
    };

    record &m_log;
    std::mutex m_lock;
    std::condition_variable m_changed;
    content m_now;
    content m_copy;
    std::uint64_t m_era = 1;
    std::atomic<bool> m_statesEra{false};
    std::atomic<bool> m_away{false};
    std::atomic<bool> m_stopping{false};
    std::list<std::thread> m_late;
    std::thread m_expiring;
    listener m_listener; // last
};

// The duty API: accepts everything, and keeps what came.
class duty_api
{
public:
    struct duty_call
    {
        std::string line;
        std::string holder;
        std::uint64_t fence = 0;
        json body;
        clock_type::time_point at;
    };

    explicit duty_api(record &log)
        : m_listener([this, &log](connection &item) {
            while (const std::optional<http_message> call = item.read(600s)) {
                const std::string fence = call->header("X-Fencing-Token");
                log.line("duty API: " + call->firstLine + " holder " + call->header("X-Duty-Holder") + " fence " + fence + " " + call->body);
                {
                    const std::lock_guard guard(m_lock);
                    m_calls.push_back({call->firstLine, call->header("X-Duty-Holder"), std::strtoull(fence.c_str(), nullptr, 10),
                        json::parse(call->body, nullptr, false), clock_type::now()});
                }
                if (!item.send(answerText(200, "", "{}"))) {
                    return;
                }
            }
        })
    {
    }
    [[nodiscard]] std::uint16_t port() const { return m_listener.port(); }
    std::vector<duty_call> calls()
    {
        const std::lock_guard guard(m_lock);
        return m_calls;
    }

private:
    std::mutex m_lock;
    std::vector<duty_call> m_calls;
    listener m_listener; // last
};

// ---- The router ------------------------------------------------------------------------------------------------------------------------

// Free for TCP and UDP when asked, below the ports that the system gives to outgoing connections.
inline std::uint16_t freePort()
{
    static std::mt19937 random(std::random_device{}());
    while (true) {
        const auto port = static_cast<std::uint16_t>(std::uniform_int_distribution<int>(12000, 30000)(random));
        const sockaddr_in at = place(port);
        bool free = true;
        for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
            const int handle = ::socket(AF_INET, type, 0);
            free = free && ::bind(handle, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) == 0;
            ::close(handle);
        }
        if (free) {
            return port;
        }
    }
}

class router
{
public:
    router(std::string name, std::string zone, std::string folder, std::uint16_t storePort, std::uint16_t cloudPort)
        : m_name(std::move(name))
        , m_folder(std::move(folder))
        , m_front(freePort())
        , m_readiness(freePort())
    {
        const auto at = [](std::uint16_t port) {
            return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
        };
        std::ofstream out(settingsFile());
        out << "instance: \"" << m_name << "\"\nfailure_domain: \"" << zone << "\"\nregion: \"west\"\nfailure_domains:\n  \"west-a\": \"west\"\n"
            << "  \"west-b\": \"west\"\n"
            << "gateway: " << at(m_front) << "readiness: " << at(m_readiness) << "metrics: " << at(freePort()) << "peer: " << at(freePort())
            << "platform:\n  form: hosted\n  key_value: " << at(storePort) << "  cloud: " << at(cloudPort) << "  lease_term: 3000ms\n"
            << "  document_within: 2000ms\n  leaving_within: 2000ms\n  usage_window: 5s\n  account_window: 8s\n  retry_reserve: 52\n"
            << "peer_key: \"entry instances of one deployment\"\noperator_token_hash: \"" << std::string(64, '0') << "\"\n"
            << "load_control: auto\nthreads: 1\nstop_within: 8s\n";
    }
    ~router() { kill(); }
    router(const router &) = delete;
    router &operator=(const router &) = delete;

    void start()
    {
        const std::string option = "--settings=" + settingsFile();
        const std::string log = m_folder + "/" + m_name + ".log";
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // also if the case is killed
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, STDOUT_FILENO);
            dup2(out, STDERR_FILENO);
            for (int handle = 3; handle < 1024; ++handle) {
                ::close(handle);
            }
            setenv("CHICORYROUTER_BOOT", settingsFile().c_str(), 1);
            execl("target/chicoryrouterd", "target/chicoryrouterd", option.c_str(), nullptr);
            _exit(127);
        }
    }
    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }
    void kill()
    {
        signal(SIGKILL);
        if (m_pid > 0) {
            waitpid(m_pid, &m_status, 0);
        }
        m_pid = 0;
    }
    [[nodiscard]] bool runs()
    {
        if (m_pid > 0 && waitpid(m_pid, &m_status, WNOHANG) == m_pid) {
            m_pid = 0;
        }
        return m_pid > 0;
    }
    // Resident memory in MB; 0: unknown.
    [[nodiscard]] long residentMb() const
    {
        std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
        for (std::string text; std::getline(status, text);) {
            if (text.compare(0, 6, "VmRSS:") == 0) {
                return std::atol(text.c_str() + 6) / 1024;
            }
        }
        return 0;
    }
    // As the balancer asks.
    [[nodiscard]] bool isReady(std::chrono::milliseconds within) const
    {
        const auto until = clock_type::now() + within;
        while (clock_type::now() < until) {
            if (const auto item = connectTo(m_readiness)) {
                item->send("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                const auto answer = item->read(1000ms);
                if (answer && answer->status() == 200) {
                    return true;
                }
            }
            sleepFor(50ms);
        }
        return false;
    }
    [[nodiscard]] std::uint16_t front() const { return m_front; }
    [[nodiscard]] const std::string &name() const { return m_name; }

private:
    [[nodiscard]] std::string settingsFile() const { return m_folder + "/" + m_name + ".conf"; }

    std::string m_name;
    std::string m_folder;
    std::uint16_t m_front;
    std::uint16_t m_readiness;
    pid_t m_pid = 0;
    int m_status = 0;
};

// ---- Configuration ---------------------------------------------------------------------------------------------------------------------

inline constexpr const char *host = "tassel.example";
inline constexpr const char *apiKey = "key-of-guild";
inline constexpr const char *tenant = "guild";

inline json route(const std::string &name, const std::string &prefix, const std::string &kind, const std::string &service, int timeoutMs, int sloMs)
{
    return {{"Name", name}, {"Host", host}, {"Prefix", prefix}, {"Kind", kind}, {"TimeoutMs", timeoutMs}, {"SloMs", sloMs}, {"Priority", 1},
        {"Service", service}, {"MaxAttempts", 2}, {"Public", false}, {"Affinity", false}, {"StreamResume", false}, {"GapTargetMs", 400}};
}

inline json plainService(const std::string &name)
{
    return {{"Name", name}, {"HealthPath", "/health"}, {"MaxConnections", 96}, {"Protocol", "h1"}, {"Tls", false}, {"ColdStartS", 0.0}, {"ColdPerS", 0.0}};
}

inline json modelService(const std::string &name)
{
    json result = plainService(name);
    result["Engine"]
        = {{"Slots", 64}, {"KvCapacityTokens", 669466}, {"KvTokenBytes", 18432}, {"LinkMbps", 130000.0}, {"Models", json::array({{{"Name", "m"}}})}};
    return result;
}

inline json configuration(int version, const json &routes, const json &services)
{
    return {{"Version", version}, {"Routes", routes}, {"Services", services},
        {"Limits", {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 4194304}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}},
        {"Tenants", json::array({{{"Name", tenant}, {"ApiKeys", json::array({apiKey})}, {"Priority", 1}, {"Unit", "token_count"}, {"PlainTokens", 200}}})}};
}

inline json entry(const std::string &service, std::uint16_t port, const std::string &zone, int sequence, const std::string &version = "v1")
{
    return {{"Service", service}, {"Address", "127.0.0.1:" + std::to_string(port)}, {"Zone", zone}, {"Version", version}, {"Slots", 6}, {"State", "ready"},
        {"ColdRemainingMs", 0}, {"Sequence", sequence}};
}

inline std::string requestText(const std::string &method,
    const std::string &target,
    const std::string &id,
    int deadlineMs,
    const std::string &body = {},
    const std::string &moreHeaders = {})
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nX-Api-Key: " + apiKey + "\r\n" + moreHeaders;
    if (method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

// Whether the run is with the disruption.
inline bool withTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// Exit codes of a case.
inline constexpr int ruleBroken = 1;
inline constexpr int ruleHeld = 0;
inline constexpr int couldNotRun = 2;

} // namespace stage
