#pragma once

#include "skylarkwind/server_evidence.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// What daemons tell one another of their work. Datagrams carry it, so that each message makes good
/// for lost ones before it: work is told as absolute values, and facts are told more than once.
namespace skylarkwind {

/// Names a backend server in messages between daemons: a hash of its id. Two servers with the same
/// key would share their work in the eyes of other daemons; with 600 servers the chance is one in
/// 24,000.
using backend_key = std::uint32_t;

backend_key BackendKey(std::string_view aBackendId);

/// Work at one backend server.
struct backend_work
{
  backend_key mBackend = 0;
  std::uint32_t mPrefillTokens = 0; ///< of requests without a first token
  std::uint32_t mRunning = 0;       ///< requests
  std::uint64_t mAddedTokens = 0;   ///< put into its memory since the sender started
  /// Only in summaries: times slower than its service's figures say; 0 when not known.
  double mSlowdown = 0;
  double mFailedPart = 0; ///< only in summaries: of the recent requests, 0 to 1
  bool mClosed = false;   ///< only in summaries: takes no requests but a few that try it
  bool operator==(const backend_work&) const = default;
};

/// What a daemon, or the daemons of a data centre, saw of one server since the start of the sender.
struct backend_record
{
  backend_key mBackend = 0;
  server_outcomes mOutcomes;
  /// Sum of the natural logarithms of measured slowdowns, and their number.
  double mSlowSum = 0;
  std::uint32_t mSlowCount = 0;
  bool operator==(const backend_record&) const = default;
};

/// Says that a backend server keeps a part of prompts.
struct kept_part
{
  std::uint64_t mKey = 0;
  backend_key mBackend = 0;
  bool mComputed = false;       ///< false while a request that computes it waits there
  std::uint32_t mReadyInMs = 0; ///< expected time until it is computed
  bool operator==(const kept_part&) const = default;
};

/// A backend server that changes its role and refuses work meanwhile.
struct changing_backend
{
  backend_key mBackend = 0;
  std::uint32_t mLeftMs = 0;
  bool operator==(const changing_backend&) const = default;
};

/// A backend server that said in an answer that it leaves.
struct leaving_backend
{
  std::string mBackendId;
  std::uint64_t mStartedAt = 0; ///< Unix ms of the start that said so
  bool operator==(const leaving_backend&) const = default;
};

/// Facts about backend servers that hold whoever tells them.
struct backend_facts
{
  std::vector<kept_part> mKept; ///< learnt lately
  std::vector<changing_backend> mChanging;
  std::vector<leaving_backend> mLeaving;

  bool Empty() const { return mKept.empty() && mChanging.empty() && mLeaving.empty(); }
  bool operator==(const backend_facts&) const = default;
};

/// A daemon as the others know it.
struct fleet_member
{
  std::string mName;
  std::string mAddress; ///< ip:port, receives messages
  std::string mDataCentre;
  /// Processor share of its VM in thousandths of a core. VMs with more do the work for the others.
  std::uint32_t mStrength = 0;
  bool mReachesStore = false; ///< false while its calls to the store fail, and once it stops
  std::uint64_t mStart = 0;   ///< drawn at the start of its process; 0 when not known
  bool mStops = false;        ///< it is about to end and takes on nothing more
  bool operator==(const fleet_member&) const = default;
};

/// Store revisions of the newest changes that a daemon has seen.
struct store_news
{
  std::uint64_t mConfiguration = 0;
  std::uint64_t mServers = 0;
  bool operator==(const store_news&) const = default;
};

/// From each daemon to the collectors of its data centre.
struct work_report
{
  fleet_member mSender;
  std::uint64_t mSequence = 0; ///< from 1, grows while the process lives
  store_news mNews;
  std::vector<backend_work> mWork;      ///< servers with work now or a moment ago
  std::vector<backend_record> mRecords; ///< the same servers
  backend_facts mFacts;
  bool operator==(const work_report&) const = default;
};

/// From a collector: the work of the whole fleet to the daemons of its data centre, or that of its
/// data centre to the collectors of the others.
struct work_summary
{
  fleet_member mSender;
  std::uint64_t mSequence = 0;
  bool mWholeFleet = false;
  /// Sequence of the receiver's newest report that is part of the sums; 0 when none is.
  std::uint64_t mIncludes = 0;
  std::uint32_t mDaemons = 0; ///< whose work is summed
  store_news mNews;
  std::vector<backend_work> mWork; ///< servers with work now or a moment ago
  /// Between data centres: servers where requests were refused, failed or lost lately. Slowdowns
  /// are left out.
  std::vector<backend_record> mRecords;
  backend_facts mFacts;
  /// Some of the daemons that live; all of them come by turns. Those of the sender's data centre,
  /// and for the whole fleet also the collectors of the others.
  std::vector<fleet_member> mMembers;
  bool operator==(const work_summary&) const = default;
};

} // namespace skylarkwind
