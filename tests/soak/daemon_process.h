// One router as a process of its own: started, signalled and ended by its id only.
#pragma once

#include "chicoryrouter/settings.h"

#include <sys/types.h>

#include <mutex>
#include <string>

namespace chicoryrouter::soak {

class daemon_process
{
public:
    daemon_process(std::string program, settings own, std::string folder);
    ~daemon_process(); // kills it if it still runs

    void start();
    void kill();                                             // SIGKILL, and waits for its end
    void pause();                                            // SIGSTOP
    void resume();                                           // SIGCONT
    void hangUp();                                           // SIGHUP
    bool stop(duration within);                              // SIGTERM, and waits; false: it did not end and was killed
    [[nodiscard]] bool runs();                               // false: it ended by itself, or was ended
    [[nodiscard]] int endedWith() const { return m_status; } // as waitpid() tells it
    [[nodiscard]] const settings &own() const { return m_own; }
    [[nodiscard]] std::string logFile() const { return m_folder + "/" + m_own.instance + ".log"; }

private:
    void send(int signal);
    bool reap(bool wait);

    std::string m_program;
    settings m_own;
    std::string m_folder;
    pid_t m_pid = 0; // 0: it does not run
    int m_status = 0;
};

std::uint16_t freePort(); // free when asked

} // namespace chicoryrouter::soak
