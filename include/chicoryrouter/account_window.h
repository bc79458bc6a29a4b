// Applies the limit of a client account to a sliding window of the spending of all daemons, and keeps the account's balance at this daemon.
//
// Daemons that don't hear each other divide the limit: an idle account has its whole window left, which would otherwise be spent once on either
// side of a cut. A daemon that has just started learns from the others what they spent within the window.
// No clock or thread; used on the control strand only.
#pragma once

#include "chicoryrouter/dispatcher.h"
#include "chicoryrouter/spending.h"
#include "chicoryrouter/token_window.h"

namespace chicoryrouter {

class account_window
{
public:
    // `length`: of the window. `start`: when the account's limit began to apply here.
    account_window(duration length, time_point start);

    // To be called several times a second. Takes what the others reported from `others` and sets the balance in `load`. `now` is the time that the
    // reports are measured in; `bootTime` includes suspension, since tokens accrue during it as well.
    void refill(account_load &load, const client_account &limits, spending_tracker &others, time_point now, time_point bootTime);

    [[nodiscard]] std::uint64_t recent() const { return m_ownRecent; } // tokens that this daemon spent within the window, as of the last refill()
    // What is asked for at this daemon, to be told to the others; null unless the limit is shared by rank and the account is near it.
    [[nodiscard]] const rank_rates *askedToTell() const { return m_nearLimit ? &m_asked : nullptr; }

private:
    void plan(account_load &load, const account_room &known, const remote_demand &remote);
    [[nodiscard]] std::int64_t spentByAll(time_point divided, double otherShare, time_point bootTime) const;
    void measureAsked(const account_load &load, time_point bootTime);

    duration m_length;
    token_window m_all;                                    // spending of all daemons, as far as this one knows
    token_window m_own;                                    // spending of this daemon
    std::uint64_t m_ownRecent = 0;                         // tokens in m_own
    std::uint64_t m_ownSeen = 0;                           // account_load::tokensSpent at the last refill()
    std::int64_t m_remaining = 0;                          // as m_all stated it last
    rank_rates m_asked{};                                  // average of the last moments, in tokens per second
    std::array<std::uint64_t, accountRanks> m_askedSeen{}; // account_share::asked() at the last refill()
    time_point m_askedAt{};                                // of that
    bool m_nearLimit = false;
    bool m_firstPlan = true; // no plan() yet
    bool m_first = true;     // no refill() yet
};

} // namespace chicoryrouter
