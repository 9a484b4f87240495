#pragma once

#include "skylarkwind/backend_calls.h"
#include "skylarkwind/prompt_part.h"
#include "skylarkwind/types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwind {

/// Delivery guarantee of a route: whether its requests may be retried.
enum class route_kind
{
  Idempotent,    ///< may be executed more than once
  NonIdempotent, ///< executed at most once for each attempt of the caller
  Streaming      ///< server-sent events; executed at most once unless the route is resumable
};

/// A service that receives a share of a route's requests in proportion to its weight.
struct weighted_service
{
  std::string mService;
  std::uint32_t mWeight = 1;
};

/// A row of the routing table: maps a host and a path prefix to one or more services.
struct forward_route
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix; ///< starts and ends with a slash
  route_kind mKind = route_kind::NonIdempotent;
  bool mResumable = false;                    ///< a stream may be resumed on another engine
  std::chrono::milliseconds mTimeout{};       ///< request timeout: longest wait of a caller
  std::chrono::milliseconds mTargetLatency{}; ///< slower responses count as late
  /// Longest pause between events that is still on time.
  std::chrono::milliseconds mTargetEventGap{};
  /// Number of backend servers to which one attempt of the caller may be sent.
  std::uint32_t mMaxAttempts = 1;
  std::uint32_t mPriority = 0; ///< 0 is the highest priority
  bool mIsPublic = false;      ///< callers need no key
  std::vector<weighted_service> mServices;

  /// Whether a request may be retried when an earlier attempt may already have been executed.
  bool IsRetryable() const { return mKind == route_kind::Idempotent || mResumable; }
};

/// Capacity and timing figures that a service publishes for each of its model engines.
struct engine_capacity
{
  std::uint32_t mSlots = 0;                ///< requests that run at the same time
  std::uint64_t mKvTokens = 0;             ///< capacity of the KV cache, in tokens
  std::uint32_t mTokensPerEvent = 1;       ///< output tokens in each event of a stream
  double mKvBytesPerToken = 0;             ///< KV cache bytes per token
  double mLinkMbps = 0;                    ///< network bandwidth between engines, Mbit/s
  std::chrono::milliseconds mHandleTtl{};  ///< how long an engine retains an exported KV cache
  std::chrono::milliseconds mRoleChange{}; ///< duration of a role change
};

/// Bounds and prices of a service whose engines can be ordered from the platform.
struct engine_ordering
{
  std::uint32_t mMinEngines = 0;            ///< in each data centre
  std::uint32_t mMaxEngines = 0;            ///< in each data centre, reclaimable ones included
  std::chrono::milliseconds mStartupTime{}; ///< from the order until a new engine serves
  /// Price of a reclaimable engine as a fraction of the price of another one; empty when the
  /// platform offers none.
  std::optional<double> mReclaimablePrice;
  std::map<std::string, double> mPrices; ///< per engine and second, by data centre
};

/// A service that requests are routed to, as listed in the routing configuration.
struct forward_service
{
  std::string mName;
  std::string mHealthPath;
  /// Connections that one backend server accepts from all daemons together.
  std::uint32_t mMaxConnections = 0;
  std::optional<engine_capacity> mEngine;   ///< empty for a plain service
  std::optional<engine_ordering> mOrdering; ///< empty when the number of engines is fixed
};

/// A client account. Each of its keys lets callers use the routes that are not public.
struct client_account
{
  std::string mName;
  std::vector<std::string> mKeys;
  std::optional<std::uint32_t> mPriority; ///< takes precedence over the priority of the route
};

/// Limits on the size and the timing of callers' requests.
struct caller_limits
{
  std::uint64_t mMaxHeaderBytes = 16 * 1'024;
  std::uint64_t mMaxBodyBytes = 4 * 1'024 * 1'024;
  std::chrono::milliseconds mHeaderTimeout{ 3'000 };
  std::chrono::milliseconds mIdleTimeout{ 15'000 };
};

/// One version of the routing configuration. Version numbers increase monotonically.
struct forward_configuration
{
  std::uint64_t mVersion = 0;
  std::vector<forward_route> mRoutes;
  std::vector<forward_service> mServices;
  caller_limits mLimits;
  /// Empty optional: callers need no keys.
  std::optional<std::vector<client_account>> mAccounts;

  /// The service of that name; null when the configuration has none.
  const forward_service* FindService(std::string_view aName) const;
};

/// A backend server as listed by service discovery.
struct backend_server
{
  std::string mId; ///< a new one for each process start, with rare exceptions
  std::string mService;
  std::string mAddress; ///< ip:port
  std::string mDataCentre;
  std::uint32_t mSlots = 0;
  bool mDraining = false;
  std::optional<engine_role> mRole; ///< model engines only
  std::uint64_t mStartedAt = 0;     ///< start of the process, Unix time in ms; 0 when unknown
  /// Number of this write of the entry, counted from the start of the process; 0 when unknown.
  std::uint64_t mSequence = 0;
  bool mIsReclaimable = false; ///< the platform may take it away at short notice
  /// Time that was left until it ends when the entry was written; empty when unknown.
  std::optional<std::chrono::milliseconds> mLeavesIn;
  bool operator==(const backend_server&) const = default;
};

/// A segment of a prompt, the unit of prefix caching. Its key also covers all preceding segments,
/// because an engine can reuse the KV cache of a segment only after an identical prefix.
struct prompt_segment
{
  std::uint64_t mKey = 0;
  std::uint32_t mTokens = 0;
};

/// The size of a generation and the segments of its prompt, as declared before it runs.
struct generation_spec
{
  std::string mModel;
  std::vector<prompt_segment> mSegments; ///< the last one is unique to this request
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mOutputTokens = 0;                    ///< upper bound
  std::optional<std::uint32_t> mExpectedOutputTokens; ///< the caller's estimate

  /// Tokens in the segments that other requests may share, i.e. in all but the last.
  std::uint32_t SharedTokens() const;
};

/// Request line and headers of a caller's request; its body is opaque.
struct forward_request
{
  std::string mId; ///< request id of this attempt of the caller; empty when it sent none
  std::string mMethod;
  std::string mHost;
  std::string mTarget;  ///< path and query as received
  header_list mHeaders; ///< to forward; without hop-by-hop headers and those set by daemons
  std::string mApiKey;  ///< key of the caller's account; empty when it sent none
  /// Headers that concern accounts, forwarded only where callers need no keys.
  header_list mAccountHeaders;
  std::optional<std::chrono::milliseconds> mCallerTimeout; ///< timeout of the caller
  std::string mResumeAfter; ///< id of the last event the caller received; empty for a new stream
  std::optional<generation_spec> mGeneration;
  /// Parts of the prompt that other requests may hold too, i.e. all but the last, each once.
  std::vector<prompt_part> mSharedParts;
};

/// What the daemon adds to a caller's request when it sends it to one backend server.
struct forward_attempt
{
  std::string mBackendId;
  std::chrono::milliseconds mTimeLeft{}; ///< until the request's deadline
  std::string mResumeAfter;              ///< id of the last event received; empty for a new stream
  bool mPrefillOnly = false;             ///< compute the prompt's KV cache without generating
  std::optional<kv_source> mKv;          ///< KV cache computed by another engine
  std::string mFetchFrom; ///< ip:port of an engine that caches prompt segments; may be empty
  std::optional<std::uint32_t> mEnginePriority; ///< priority from 0 (highest) to 9
  bool mHasAccounts = false;                    ///< the configuration lists accounts
  std::string mAccount; ///< name of the caller's account; empty when it has none
};

/// Load that a backend server reports in a response, in requests.
struct backend_load
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0;
  /// Time that work takes on the server's machine now, as a percentage of the usual time; 0 when
  /// the server does not report it.
  std::uint32_t mWorkTimePercent = 0;
};

/// Response head: status and headers of a backend server's response.
struct response_head
{
  int mStatus = 0;
  std::string mRequestId;
  bool mSigned = false;      ///< carries the backend server's response signature
  bool mNotExecuted = false; ///< the request was not executed and never will be
  bool mMisdirected = false; ///< another server than intended, or one in another role, answered
  bool mLeaving = false;     ///< leaving; accepts requests only until its drain time is over
  /// Back-off requested with status 503: how long this daemon should send the server no requests.
  std::optional<std::chrono::milliseconds> mQuietFor;
  std::optional<backend_load> mLoad;
  header_list mHeaders;                                ///< to forward to the caller
  std::optional<std::chrono::milliseconds> mKeepAlive; ///< the server's idle timeout
  bool mClosesConnection = false; ///< the server closes the connection after this response
};

} // namespace skylarkwind
