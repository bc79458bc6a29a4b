// The log writer, over easylogging++.
#include "shell/log.h"

#include <easylogging++.h>

#include <array>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

INITIALIZE_EASYLOGGINGPP // NOLINT

    namespace chicoryrouter
{

    namespace {

    constexpr std::size_t mostQueuedLines = 65536;
    constexpr std::array<std::string_view, static_cast<std::size_t>(log_part::Count)> prefixes
        = {"[route] ", "[request] ", "[config] ", "[member] ", "[move] ", "[place] ", "[load] ", "[claim] ", "[peer] ", "[daemon] "};

    struct log_line
    {
        log_level level = log_level::Info;
        std::string text;
    };

    class log_writer
    {
    public:
        void start(log_level most)
        {
            m_most = most;
            m_thread = std::thread([this] { run(); });
        }

        void stop()
        {
            {
                const std::lock_guard guard(m_lock);
                m_stopping = true;
            }
            m_wake.notify_one();
            if (m_thread.joinable()) {
                m_thread.join();
            }
        }

        ~log_writer() { stop(); }

        [[nodiscard]] bool wants(log_level level) const { return m_thread.joinable() && level <= m_most; }

        void push(log_line line)
        {
            {
                const std::lock_guard guard(m_lock);
                if (m_lines.size() >= mostQueuedLines) {
                    ++m_dropped;
                    return;
                }
                m_lines.push_back(std::move(line));
            }
            m_wake.notify_one();
        }

        unsigned long dropped()
        {
            const std::lock_guard guard(m_lock);
            return m_dropped;
        }

    private:
        void run()
        {
            std::unique_lock guard(m_lock);
            while (true) {
                m_wake.wait(guard, [this] { return m_stopping || !m_lines.empty(); });
                if (m_lines.empty()) {
                    return;
                }
                std::deque<log_line> batch;
                batch.swap(m_lines);
                guard.unlock();
                for (const log_line &line : batch) {
                    write(line);
                }
                guard.lock();
            }
        }

        static void write(const log_line &line)
        {
            switch (line.level) {
            case log_level::Error:
                LOG(ERROR) << line.text;
                break;
            case log_level::Warning:
                LOG(WARNING) << line.text;
                break;
            case log_level::Info:
            case log_level::Debug:
                LOG(INFO) << line.text;
                break;
            }
        }

        log_level m_most = log_level::Info;
        std::thread m_thread;
        std::mutex m_lock;
        std::condition_variable m_wake;
        std::deque<log_line> m_lines; // at most mostQueuedLines
        unsigned long m_dropped = 0;
        bool m_stopping = false;
    };

    log_writer &writer()
    {
        static log_writer instance;
        return instance;
    }

    log_level parseLevel(std::string_view level)
    {
        if (level == "error") {
            return log_level::Error;
        }
        if (level == "warning") {
            return log_level::Warning;
        }
        return level == "debug" ? log_level::Debug : log_level::Info;
    }

    } // namespace

    void startLog(std::string_view level, const std::string &file)
    {
        el::Configurations configuration;
        configuration.setToDefault();
        configuration.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
        configuration.setGlobally(el::ConfigurationType::ToStandardOutput, file.empty() ? "true" : "false");
        configuration.setGlobally(el::ConfigurationType::ToFile, file.empty() ? "false" : "true");
        if (!file.empty()) {
            configuration.setGlobally(el::ConfigurationType::Filename, file);
        }
        el::Loggers::reconfigureAllLoggers(configuration);
        writer().start(parseLevel(level));
    }

    void stopLog()
    {
        writer().stop();
    }

    bool logs(log_level level)
    {
        return writer().wants(level);
    }

    void logLine(log_part part, log_level level, std::string text)
    {
        if (!logs(level)) {
            return;
        }
        writer().push({level, std::string(prefixes.at(static_cast<std::size_t>(part))) + std::move(text)});
    }

    unsigned long droppedLogLines()
    {
        return writer().dropped();
    }

} // namespace chicoryrouter
