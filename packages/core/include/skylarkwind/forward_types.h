#pragma once

#include "skylarkwind/backend_calls.h"
#include "skylarkwind/types.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwind {

/// What a route says about repeating its requests.
enum class route_kind
{
  Idempotent,    ///< may run more than once
  NonIdempotent, ///< runs at most once for each caller's attempt
  Streaming      ///< events; runs at most once unless the route is resumable
};

/// Share of a route's requests that one service receives.
struct weighted_service
{
  std::string mService;
  std::uint32_t mWeight = 1;
};

/// A row that maps a host and a path prefix to services.
struct forward_route
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix; ///< begins and ends with a slash
  route_kind mKind = route_kind::NonIdempotent;
  bool mResumable = false;             ///< a stream may go on at another engine
  std::chrono::milliseconds mLimit{};  ///< longest time that a caller is kept waiting
  std::chrono::milliseconds mTarget{}; ///< answers later than this count as late
  std::chrono::milliseconds mMaxGap{}; ///< longest pause between events that is still on time
  std::uint32_t mMaxBackends = 1;      ///< backend servers that one caller's attempt may be sent to
  std::uint32_t mPriority = 0;         ///< 0 is the most urgent
  std::vector<weighted_service> mServices;

  /// Whether a request may run a second time after it may have run once.
  bool MayRepeat() const { return mKind == route_kind::Idempotent || mResumable; }
};

/// Published figures of a service's model engines.
struct engine_traits
{
  std::uint32_t mSlots = 0;
  std::uint64_t mKvTokens = 0;
  std::uint32_t mTokensEachEvent = 1;      ///< output tokens that one event of a stream holds
  double mKvBytesEach = 0;                 ///< KV cache bytes of one token
  double mLinkMegabits = 0;                ///< bandwidth between engines, Mbit/s
  std::chrono::milliseconds mHandleLife{}; ///< how long an engine keeps an exported KV cache
  std::chrono::milliseconds mRoleChange{}; ///< how long a change of role takes
};

struct forward_service
{
  std::string mName;
  std::string mHealthPath;
  std::uint32_t mMaxConnections = 0; ///< accepted by one backend server from all daemons together
  std::optional<engine_traits> mEngine; ///< empty for a plain service
};

/// Bounds on what callers may send.
struct caller_limits
{
  std::uint64_t mMaxHeaderBytes = 16 * 1'024;
  std::uint64_t mMaxBodyBytes = 4 * 1'024 * 1'024;
  std::chrono::milliseconds mHeaderTime{ 3'000 };
  std::chrono::milliseconds mIdleTime{ 15'000 };
};

/// One version of the routing configuration. Versions only grow.
struct forward_configuration
{
  std::uint64_t mVersion = 0;
  std::vector<forward_route> mRoutes;
  std::vector<forward_service> mServices;
  caller_limits mLimits;

  const forward_service* FindService(std::string_view aName) const;
};

/// A backend server as service discovery lists it.
struct backend_server
{
  std::string mId; ///< unique for each start, with rare exceptions
  std::string mService;
  std::string mAddress; ///< ip:port
  std::string mDataCentre;
  std::uint32_t mSlots = 0;
  bool mDraining = false;
  std::optional<engine_role> mRole; ///< model engines only
  std::uint64_t mStartedAt = 0;     ///< Unix ms of its start; 0 when unknown
  bool operator==(const backend_server&) const = default;
};

/// A piece of a prompt. The key covers all pieces before it, because an engine reuses a piece only
/// behind the same pieces.
struct prompt_part
{
  std::uint64_t mKey = 0;
  std::uint32_t mTokens = 0;
};

/// What is known of a generation before it runs.
struct generation_shape
{
  std::string mModel;
  std::vector<prompt_part> mParts; ///< the last one belongs to this request alone
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mOutputTokens = 0; ///< at most

  /// Tokens of the parts that other requests may share.
  std::uint32_t SharedTokens() const;
};

/// The head of a caller's request; its body is opaque.
struct forward_request
{
  std::string mId; ///< of this attempt of the caller; empty when it sent none
  std::string mMethod;
  std::string mHost;
  std::string mTarget;  ///< path and query as sent
  header_list mHeaders; ///< passed on; without hop-by-hop headers and those that daemons set
  std::optional<std::chrono::milliseconds> mPatience; ///< how long the caller will wait
  std::string mResumeAfter; ///< id of the last event that the caller has; empty from the start
  std::optional<generation_shape> mGeneration;
};

/// What a daemon adds to a request for one backend server.
struct forward_attempt
{
  std::string mBackendId;
  std::chrono::milliseconds mTimeLeft{};
  std::string mResumeAfter;
  bool mPrefillOnly = false;             ///< compute the prompt's KV cache, generate nothing
  std::optional<kv_source> mKv;          ///< KV cache computed by another engine
  std::string mFetchFrom;                ///< engine that keeps parts of the prompt; may be empty
  std::optional<std::uint32_t> mUrgency; ///< 0 is the most urgent of 0 to 9
};

/// Load that a backend server states with an answer.
struct backend_load
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;
};

/// What the head of a backend server's answer says.
struct answer_head
{
  int mStatus = 0;
  std::string mRequestId;
  bool mSigned = false;      ///< carries the backend server's signature of its answer
  bool mNotRun = false;      ///< states that the request has not run and never will
  bool mMisdirected = false; ///< it is another server than was meant, or has another role
  bool mLeaving = false;     ///< the server leaves; it takes requests only for the drain time
  /// With status 503: how long the server wants no request from this daemon.
  std::optional<std::chrono::milliseconds> mQuietFor;
  std::optional<backend_load> mLoad;
  header_list mHeaders;                                ///< to be passed to the caller
  std::optional<std::chrono::milliseconds> mKeepAlive; ///< its idle limit for the connection
  bool mCloses = false;                                ///< it ends the connection after this answer
};

} // namespace skylarkwind
