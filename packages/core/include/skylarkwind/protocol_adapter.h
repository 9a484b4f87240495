#pragma once

#include "skylarkwind/forward_types.h"

#include <absl/status/statusor.h>
#include <map>
#include <string>
#include <string_view>

namespace skylarkwind {

/// A control request to a backend server, as opposed to a forwarded caller's request.
struct control_request
{
  std::string mMethod;
  std::string mPath;
  header_list mHeaders;
  std::string mBody;
};

/// A role command: tells an engine to change its role.
struct role_command
{
  std::string mBackendId;
  engine_role mRole = engine_role::Both;
  std::string mHolder;                     ///< daemon that holds the command lease
  std::uint64_t mFencing = 0;              ///< fencing token of the command lease
  std::uint64_t mExpectedCommandCount = 0; ///< commands that the engine has accepted so far
};

/// An engine's response to a role command.
enum class role_command_result
{
  Accepted,
  Unchanged, ///< the engine already has the requested role
  Conflict,  ///< another command is in progress, or the expected command count differs
  StaleFencing,
  WrongServer, ///< the addressed server is not the one that was reached
  Unknown      ///< no answer or another status; the command may have been accepted
};

/// The requests of each account that began to run in one window of time.
struct usage_window
{
  std::uint64_t mWindow = 0;                    ///< number of the window since the start of 1970
  std::map<std::string, std::uint64_t> mCounts; ///< by name of the account
  bool operator==(const usage_window&) const = default;
};

/// An order for the number of engines of a service in a data centre.
struct engine_count_order
{
  std::string mService;
  std::string mDataCentre;
  std::uint32_t mEngines = 0;
  bool mReclaimable = false; ///< of engines that may be taken away; the others are not changed
  bool operator==(const engine_count_order&) const = default;
};

/// State that an engine reports about itself.
struct engine_state_report
{
  std::optional<engine_role> mRole;
  bool mChanging = false;       ///< a command is in progress
  std::uint64_t mOrders = 0;    ///< commands accepted since the engine started
  std::uint64_t mStartedAt = 0; ///< Unix time in ms; 0 when unknown
};

/// Protocol adapter: translates between a deployment's HTTP headers and bodies and the types of
/// this code base. It is stateless and makes no decisions.
class protocol_adapter
{
public:
  virtual ~protocol_adapter() = default;

  /// Parses a caller's request.
  virtual forward_request ParseRequest(std::string aMethod,
                                       std::string aHost,
                                       std::string aTarget,
                                       const header_list& aHeaders) const = 0;
  /// All headers of the request as it is sent to a backend server.
  virtual header_list MakeAttemptHeaders(const forward_request& aRequest,
                                         const forward_attempt& aAttempt) const = 0;
  /// Parses the status and headers of a backend server's response.
  virtual response_head ParseResponse(int aStatus, const header_list& aHeaders) const = 0;
  /// Removes the response signature, for a response whose status differs from the backend server's
  /// own.
  virtual header_list RemoveSignature(const header_list& aHeaders) const = 0;
  /// Extracts the handle of the exported KV cache from the body of a prefill response.
  virtual absl::StatusOr<std::string> ParsePrefillHandle(std::string_view aBody) const = 0;

  /// The request that lets an engine free an exported KV cache.
  virtual control_request ReleaseHandleRequest(std::string_view aHandle) const = 0;
  /// The request for an engine's state; `ParseState` parses the body of its response.
  virtual control_request StateRequest() const = 0;
  virtual absl::StatusOr<engine_state_report> ParseState(std::string_view aBody) const = 0;
  /// The request for a role change; `ParseRoleCommandResult` interprets the status of its response.
  virtual control_request RoleCommandRequest(const role_command& aCommand) const = 0;
  virtual role_command_result ParseRoleCommandResult(int aStatus) const = 0;

  /// Calls of the platform's API. `aHolder` is the daemon that holds the task, `aToken` its fencing
  /// token.
  virtual control_request UsageRequest(const usage_window& aUsage,
                                       std::string_view aHolder,
                                       std::uint64_t aToken) const = 0;
  virtual control_request EngineCountRequest(const engine_count_order& aOrder,
                                             std::string_view aHolder,
                                             std::uint64_t aToken) const = 0;

  /// Path that the deployment's load balancer probes for readiness.
  virtual std::string_view ReadyPath() const = 0;
};

/// An object of the platform's metadata store.
struct stored_object
{
  std::string mName;
  std::uint64_t mRevision = 0;
  std::string mValue; ///< JSON text
};

/// Object parser: parses the platform's stored objects into the types of this code base.
class object_parser
{
public:
  virtual ~object_parser() = default;
  /// Parses the routing configuration. Malformed routes are skipped, so that one of them does not
  /// invalidate the others.
  virtual absl::StatusOr<forward_configuration> ParseConfiguration(
    const stored_object& aObject) const = 0;
  virtual absl::StatusOr<backend_server> ParseBackend(const stored_object& aObject) const = 0;
  /// Kind and name under which the store holds the routing configuration.
  virtual std::string_view ConfigurationKind() const = 0;
  virtual std::string_view ConfigurationName() const = 0;
  /// Kind under which the store holds the backend servers.
  virtual std::string_view BackendKind() const = 0;
};

} // namespace skylarkwind
