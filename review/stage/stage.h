// A small deployment on loopback addresses for the cases of this review: the platform's store, replicas, clients, and the project's daemons
// as processes. It uses plain sockets and threads, so that it shares no code with the project.
#pragma once

#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace stage {

using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;
using nlohmann::json;

enum exit_code { held = 0, broken = 1, could_not_run = 2 };

// ---- The record ------------------------------------------------------------------------------------------------------------------------

// record.txt: what was sent, answered and run, one line each, with the seconds since the start.
class record
{
public:
    explicit record(const std::string &path);
    void line(const std::string &text);
    [[nodiscard]] double seconds() const; // since the start

private:
    std::ofstream m_out;
    std::mutex m_lock;
    clock::time_point m_start = clock::now();
};

// ---- HTTP/1.1 --------------------------------------------------------------------------------------------------------------------------

using headers = std::vector<std::pair<std::string, std::string>>;

std::string header(const headers &list, std::string_view name); // empty if there is none; names are case-insensitive

struct message
{
    std::string start; // request line or status line
    headers fields;
    std::string body;
    int status = 0;        // answers only
    bool complete = false; // the body is whole; an answer without length or chunks is whole when its connection ends
    bool unframed = false; // the answer had neither a length nor chunks

    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
};

class connection
{
public:
    explicit connection(int descriptor);
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    static std::unique_ptr<connection> open(const std::string &ip, int port, milliseconds within); // null if it could not be opened
    void setReadTimeout(milliseconds within);
    bool send(std::string_view bytes); // false: the other side has closed
    std::optional<message> readRequest();
    message readAnswer();                  // status 0: the connection ended before a whole head
    [[nodiscard]] bool peerClosed() const; // the other side has closed, or sent more
    void reset();                          // closes with a reset
    void shutdown();                       // wakes a thread that waits in another call

private:
    bool fill(); // reads more into m_buffer
    bool readHead(message &into);
    bool readBytes(std::size_t count, std::string &into);
    bool readLine(std::string &line);
    bool readChunks(std::string &into);

    int m_descriptor;
    std::string m_buffer;
};

std::string answerText(int status, const headers &fields, const std::string &body); // with Content-Length

// Serves each connection on a thread of its own.
class server
{
public:
    using handler = std::function<bool(connection &, const message &)>; // false: close the connection

    server(const std::string &ip, int port, handler onRequest); // port 0: a free one; throws if it can't listen
    ~server();
    [[nodiscard]] int port() const { return m_port; }
    [[nodiscard]] std::string address() const { return m_ip + ":" + std::to_string(m_port); }
    void close(); // stops listening and closes all connections, as a process that ends

private:
    void accept();
    void serve(const std::shared_ptr<connection> &open);

    std::string m_ip;
    int m_port = 0;
    int m_listener = -1;
    handler m_handler;
    std::atomic<bool> m_closing{false};
    std::mutex m_lock;
    std::list<std::pair<std::shared_ptr<connection>, std::thread>> m_open;
    std::thread m_accepting;
};

// ---- The platform ----------------------------------------------------------------------------------------------------------------------

// The store as the pages describe it, and the calls of duty, which are accepted and recorded.
class platform
{
public:
    platform(const std::string &ip, record &log);
    [[nodiscard]] std::string address() const { return m_server.address(); }
    [[nodiscard]] int port() const { return m_server.port(); }
    std::uint64_t put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    [[nodiscard]] std::optional<std::string> value(const std::string &key);

private:
    struct item
    {
        std::string value; // base64
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct lease
    {
        clock::time_point until;
        milliseconds term{};
    };

    bool handle(connection &to, const message &request);
    json range(const std::string &prefix, const std::string &after);
    json watch(const std::string &prefix, std::uint64_t after, milliseconds wait);
    std::pair<int, json> transact(const json &wanted);
    void write(const std::string &key, std::string encoded, std::uint64_t ofLease);
    void erase(const std::string &key);
    void endLeases();
    json itemJson(const std::string &key, const item &held) const;

    record &m_record;
    std::mutex m_lock;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::vector<json> m_changes;
    std::map<std::uint64_t, lease> m_leases;
    std::uint64_t m_revision = 100;
    std::uint64_t m_nextLease = 1000;
    server m_server; // last: it serves from its construction on
};

std::string decodeBase64(const std::string &text);
std::string encodeBase64(const std::string &bytes);

// A machine's way to the store. While it is cut, nothing passes in either direction, and nothing is reset.
class store_link
{
public:
    store_link(const std::string &ip, int storePort, const std::string &storeIp);
    ~store_link();
    [[nodiscard]] std::string address() const { return m_ip + ":" + std::to_string(m_port); }
    std::atomic<bool> cut{false};

private:
    void accept();
    void pass(const std::shared_ptr<std::array<int, 2>> &ends, int from);

    std::string m_ip;
    std::string m_storeIp;
    int m_storePort;
    int m_listener;
    int m_port;
    std::atomic<bool> m_closing{false};
    std::mutex m_lock;
    std::vector<std::shared_ptr<std::array<int, 2>>> m_open;
    std::list<std::thread> m_threads;
    std::thread m_accepting;
};

// ---- Daemons ---------------------------------------------------------------------------------------------------------------------------

// One machine with the project's daemon, started by the command of deploy/system.toml with the settings of its template.
class machine
{
public:
    machine(
        std::string name, std::string zone, std::string ip, const std::string &storeAddress, const std::string &cloudAddress, std::string folder, record &log);
    ~machine();

    void start();
    void signal(int number);
    bool running();                             // false once the process has ended; endText() then says how
    std::optional<std::string> takeEnd();       // how the process ended, once for each end
    void kill();                                // and waits for its end
    bool ready(milliseconds within);            // answers its readiness probe with 200
    [[nodiscard]] std::size_t memoryMb() const; // resident
    [[nodiscard]] std::size_t descriptors() const;
    [[nodiscard]] const std::string &name() const { return m_name; }
    [[nodiscard]] const std::string &ip() const { return m_ip; }
    [[nodiscard]] int front() const { return m_front; }
    std::unique_ptr<connection> connect(milliseconds within = milliseconds(1000)) const { return connection::open(m_ip, m_front, within); }

private:
    std::string m_name;
    std::string m_ip;
    std::string m_settings;
    std::string m_output;
    record &m_record;
    int m_front = 0;
    int m_readiness = 0;
    int m_process = 0;
    std::optional<std::string> m_end;
};

// ---- A deployment ----------------------------------------------------------------------------------------------------------------------

// Names as in the examples of the users' wire.
inline constexpr const char *host = "ficu95.example";
inline constexpr const char *apiKey = "i9n73hh2b9wu3fexd9dn";
inline constexpr const char *modelService = "huvo11a";
inline constexpr const char *plainService = "wuno96b";
inline constexpr const char *orderPath = "/puxa403/2f";     // non_idempotent, at the plain service
inline constexpr const char *lookPath = "/cufi504/fi50/2f"; // idempotent, at the plain service
inline constexpr const char *chatPath = "/pufi791/2f";      // streaming, may be resumed, two attempts
inline constexpr const char *zones[] = {"rennes-a", "rennes-b"};

json configuration(); // the routes above, two services and one tenant, with the figures of the site armor-tables
std::string entry(const char *service, const std::string &address, const char *zone, int slots, int sequence, const char *state = "ready");

class deployment
{
public:
    deployment(int argc, char **argv, std::size_t machineCount); // argv[1]: folder of the case
    ~deployment();

    [[nodiscard]] bool trouble() const { return m_trouble; } // false with TROUBLE=0
    [[nodiscard]] std::string ipOf(int index) const;         // a loopback address of this run
    void startMachines();                                    // and waits until all are ready; throws if they are not
    std::string nextId();                                    // of a client's request

    record log;
    std::string base; // first three numbers of this run's loopback addresses
    std::string folder;
    std::unique_ptr<platform> store;
    std::vector<std::unique_ptr<store_link>> storeLinks; // by machine
    std::vector<std::unique_ptr<machine>> machines;

private:
    bool m_trouble = true;
    std::atomic<std::uint64_t> m_ids{0};
};

// A client's request as the pages show it.
std::string requestText(
    const std::string &method, const std::string &path, const std::string &id, int deadlineMs, const headers &more = {}, const std::string &body = {});

// Runs a case and turns an exception into could_not_run.
int run(const std::function<int()> &play);

} // namespace stage
