#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/forward_types.h"
#include "skylarkwind/work_messages.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace skylarkwind {

struct backend_board_settings
{
  /// Prompt tokens that a prefill engine computes in a ms, before any measurement. From the
  /// operators' sheet of their engines.
  double mPrefillTokensPerMs = 50;
  /// Part of that rate which a decode engine reaches between the steps of its streams.
  double mDecodePart = 0.43;
  /// Work of other daemons that has not been told again for this long is over.
  std::chrono::milliseconds mOthersLife{ 1'500 };
};

/// How a request ended at a backend server, as far as the server's health is concerned.
enum class backend_outcome
{
  Answered,    ///< it did its work, or the attempt ended for a reason that is not its own
  Refused,     ///< it is alive and said that it did not run the request
  Failed,      ///< it failed the request, or broke it off
  Unreachable, ///< no connection could be made
  Silent,      ///< it gave no sign of life in the expected time
  Cancelled    ///< ended by this daemon; says nothing of the server
};

/// This daemon's view of the load and health of all backend servers: its own work, known exactly,
/// the work that other daemons tell of, and what answers have shown.
class backend_board
{
public:
  /// Names one piece of work at one backend server.
  using ticket = std::uint64_t;

  explicit backend_board(backend_board_settings aSettings);

  /// A request is sent. `aPrefillTokens` is what the server has to compute before the first token.
  ticket Begin(std::string_view aBackendId,
               std::uint32_t aPrefillTokens,
               std::chrono::duration<double, std::milli> aExpected,
               instant aNow);
  /// Its first token or its answer came.
  void OnFirst(ticket aTicket, instant aNow);
  void End(ticket aTicket, backend_outcome aOutcome, instant aNow);
  /// The load that a server stated with an answer.
  void OnLoad(std::string_view aBackendId, const backend_load& aLoad, instant aNow);
  /// The server asked for no requests for a time. It did not fail.
  void OnQuiet(std::string_view aBackendId, std::chrono::milliseconds aFor, instant aNow);
  /// The server refuses work until then, because it changes its role.
  void OnChanging(backend_key aBackend, instant aUntil);
  /// The server is listed with its new role.
  void OnChanged(std::string_view aBackendId, instant aNow);
  /// The server has left or started again; what was learnt of it is void.
  void Forget(std::string_view aBackendId);

  /// What is known of one server at one moment.
  struct view
  {
    double mWaitingTokens = 0;  ///< prompt tokens that wait there, of all daemons
    std::uint32_t mRunning = 0; ///< requests there, of all daemons
    double mSlowdown = 1;       ///< times slower than expected, 1 before any measurement
    double mFailedPart = 0;     ///< of its recent requests, 0 to 1
    bool mAdmits = true;        ///< false while it is set aside, changes its role or wants quiet
  };
  view Look(std::string_view aBackendId, instant aNow) const;
  /// The end of the time for which the server wants no requests; in the past when it wants some.
  instant QuietUntil(std::string_view aBackendId) const;

  /// Work that other daemons have begun since this one last heard of theirs, estimated from its
  /// own: daemons are alike.
  struct unseen_work
  {
    double mPrefillMs = 0; ///< sum over all servers, at the usual rate
    double mRequests = 0;
  };
  unseen_work Unseen(instant aNow) const;

  /// Computation rate in tokens a ms, by role.
  double Rate(std::optional<engine_role> aRole, double aSlowdown) const;

  /// This daemon's work at servers where it has some or had until a moment ago.
  std::vector<backend_work> OwnWork(instant aNow) const;
  /// What it saw of the same servers.
  std::vector<backend_record> OwnRecords(instant aNow) const;
  /// The work of all other daemons at a server, and what all daemons together know of it.
  void OnOthers(const backend_work& aOthers, instant aNow);
  /// Which daemons try a closed server follows from their names and number.
  void SetFleet(std::uint64_t aSelf, std::uint32_t aDaemons);
  /// Role changes under way.
  std::vector<changing_backend> Changing(instant aNow) const;
  /// Grows with each change of this daemon's work.
  std::uint64_t Changes() const { return mChanges; }

private:
  /// A rate that follows what was added in the last seconds.
  struct recent_rate
  {
    double mEachMs = 0; ///< at mAt; it fades
    instant mAt{};
    double At(instant aNow) const;
    void Add(double aAmount, instant aNow);
  };
  struct open_work
  {
    backend_key mBackend = 0;
    std::uint32_t mPrefillTokens = 0;
    std::chrono::duration<double, std::milli> mExpected{};
    double mSlowdown = 1; ///< with which the time was expected
    instant mBegun;
    bool mFirst = false;
  };
  struct backend_state
  {
    double mOwnTokens = 0;
    std::uint32_t mOwnRunning = 0;
    instant mOwnChangedAt{};
    double mOthersTokens = 0;
    std::uint32_t mOthersRunning = 0;
    instant mOthersAt{};
    double mFleetSlowdown = 0; ///< 0 when not known
    double mFleetFailedPart = 0;
    bool mFleetClosed = false;
    double mOwnSlowLog = 0; ///< logarithm, smoothed
    backend_record mRecord;
    double mFailedPart = 0;
    std::uint32_t mFailuresInARow = 0;
    instant mSetAsideUntil{};
    bool mTrialOpen = false; ///< the one request after a time set aside is under way
    instant mChangingUntil{};
    instant mQuietUntil{};
    backend_load mLoad;
    instant mLoadAt{};
  };

  backend_state& StateOf(std::string_view aBackendId) { return mStates[BackendKey(aBackendId)]; }
  bool Admits(backend_key aBackend, const backend_state& aState, instant aNow) const;
  double Slowdown(const backend_state& aState) const;
  static void OnFailure(backend_state& aState, bool aUnreachable, instant aNow);
  void NoteOwnChange(backend_state& aState, instant aNow);
  /// Whether it is this daemon's turn to try a closed server.
  bool MayTry(backend_key aBackend, instant aNow) const;

  backend_board_settings mSettings;
  std::unordered_map<backend_key, backend_state> mStates;
  std::unordered_map<ticket, open_work> mOpen;
  ticket mLastTicket = 0;
  double mUsualSlowLog = 0; ///< of all measurements, for servers without one
  std::uint32_t mMeasurements = 0;
  recent_rate mOwnTokens;
  recent_rate mOwnRequests;
  std::uint64_t mSelf = 0;
  std::uint32_t mDaemons = 1;
  std::uint64_t mChanges = 0;
};

} // namespace skylarkwind
