#pragma once

#include "skylarkwind/forward_types.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace skylarkwind {

/// A call to a backend server that is not a caller's request.
struct control_call
{
  std::string mMethod;
  std::string mPath;
  header_list mHeaders;
  std::string mBody;
};

/// An order to change an engine's role.
struct role_order
{
  std::string mBackendId;
  engine_role mRole = engine_role::Both;
  std::string mHolder;
  std::uint64_t mFencing = 0;
  std::uint64_t mExpectedSequence = 0; ///< orders that the engine has accepted so far
};

enum class role_order_answer
{
  Accepted,
  AlreadySo,
  Conflict, ///< another order is under way, or the expected sequence differs
  StaleFencing,
  OtherServer,
  Unknown
};

/// An engine's own statement of its state.
struct engine_state_report
{
  std::optional<engine_role> mRole;
  bool mChanging = false;       ///< an order is under way
  std::uint64_t mOrders = 0;    ///< orders accepted since its start
  std::uint64_t mStartedAt = 0; ///< Unix ms
};

/// Translates between a deployment's headers and bodies and the product's types. It decides and
/// remembers nothing.
class forward_dialect
{
public:
  virtual ~forward_dialect() = default;

  virtual forward_request ReadRequest(std::string aMethod,
                                      std::string aHost,
                                      std::string aTarget,
                                      const header_list& aHeaders) const = 0;
  /// All headers of the request as it goes to a backend server.
  virtual header_list AttemptHeaders(const forward_request& aRequest,
                                     const forward_attempt& aAttempt) const = 0;
  virtual answer_head ReadAnswer(int aStatus, const header_list& aHeaders) const = 0;
  /// Headers of an answer whose status differs from the backend server's own.
  virtual header_list WithoutSignature(const header_list& aHeaders) const = 0;
  virtual absl::StatusOr<std::string> ReadPrefillHandle(std::string_view aBody) const = 0;

  virtual control_call ReleaseHandle(std::string_view aHandle) const = 0;
  virtual control_call ReadState() const = 0;
  virtual absl::StatusOr<engine_state_report> ParseState(std::string_view aBody) const = 0;
  virtual control_call OrderRole(const role_order& aOrder) const = 0;
  virtual role_order_answer ParseOrderAnswer(int aStatus) const = 0;

  /// Path that the deployment's balancer asks for readiness.
  virtual std::string_view ReadyPath() const = 0;
};

/// A stored object of the platform.
struct stored_object
{
  std::string mName;
  std::uint64_t mRevision = 0;
  std::string mValue; ///< JSON text
};

/// Translates the platform's stored objects into the product's types.
class deployment_objects
{
public:
  virtual ~deployment_objects() = default;
  virtual absl::StatusOr<forward_configuration> ParseConfiguration(
    const stored_object& aObject) const = 0;
  virtual absl::StatusOr<backend_server> ParseBackend(const stored_object& aObject) const = 0;
  virtual std::string_view ConfigurationKind() const = 0;
  virtual std::string_view ConfigurationName() const = 0;
  virtual std::string_view BackendKind() const = 0;
};

} // namespace skylarkwind
