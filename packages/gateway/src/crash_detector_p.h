#pragma once

#include "skylarkwind/backend_directory.h"
#include "skylarkwind/clock.h"
#include "skylarkwind/counters.h"
#include "skylarkwind/crash_evidence.h"
#include "skylarkwind/prompt_quarantine.h"

#include <kj/async-io.h>
#include <kj/timer.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// Finds out whether a server has ended when calls to it are cut. A server whose connections fail
/// may also be cut off, or close some of them; one that has ended refuses new ones. So one
/// connection is tried after a cut, and is closed at once if it is accepted. A process that ends
/// closes its sockets one after the other and may still accept, so that another one is tried a
/// little later.
class crash_detector
{
public:
  /// `aStalled`: whether this process was stalled shortly before, so that it can't tell when
  /// connections ended.
  crash_detector(kj::Network& aNetwork,
                 kj::Timer& aTimer,
                 kj::TaskSet& aTasks,
                 const clock_source& aClock,
                 const backend_directory& aDirectory,
                 prompt_quarantine& aQuarantine,
                 counters& aCounters,
                 std::function<bool(instant)> aStalled);

  /// A call that the server may have been running, with these parts in its prompt, was cut.
  void OnCut(const backend_server& aServer, const std::vector<prompt_part>& aParts);
  /// A successful response of the server, to a request with these parts, has come to its end.
  /// `aDelimited`: its length was stated; otherwise the end of its connection is its end, as it is
  /// when the server ends.
  void OnAnswerEnd(const backend_server& aServer,
                   const std::vector<prompt_part>& aParts,
                   bool aDelimited);

private:
  /// What waits for the result of one check.
  struct open_check
  {
    instant mAt{};
    std::vector<crash_part> mCut;
    std::vector<crash_part> mAnswered; ///< of responses that the end of the server may have cut
  };
  enum class server_state
  {
    Listening,
    Ended,
    Unknown
  };

  open_check& CheckOf(const backend_server& aServer);
  kj::Promise<server_state> Check(const std::string& aAddress);
  kj::Promise<server_state> Connect(const std::string& aAddress);
  void OnChecked(const backend_server& aServer, server_state aState);
  /// Whether the server was expected to end.
  bool MayLeave(const backend_server& aServer) const;

  kj::Network& mNetwork;
  kj::Timer& mTimer;
  kj::TaskSet& mTasks;
  const clock_source& mClock;
  const backend_directory& mDirectory;
  prompt_quarantine& mQuarantine;
  counters& mCounters;
  std::function<bool(instant)> mStalled;
  std::map<std::string, open_check, std::less<>> mChecks; ///< by id of the server
};

} // namespace skylarkwind
