#pragma once

#include "skylarkwind/effects.h"
#include "skylarkwind/events.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

struct membership_settings
{
  process_id mSelf;
  daemon_location mLocation;
  std::vector<std::string> mSeeds; ///< ip:port of other daemons
  std::chrono::milliseconds mProbePeriod{ 1'000 };
  std::chrono::milliseconds mProbeTimeout{ 300 };
  std::chrono::milliseconds mSuspicionTimeout{ 5'000 };
  std::uint64_t mRandomSeed = 1;
};

/// SWIM failure detector: tracks which daemons are alive. Probes random members, suspects a member
/// before declaring it dead, and piggybacks updates on the probes, so that the cost per daemon does
/// not grow with the number of daemons.
class membership
{
public:
  static absl::StatusOr<std::unique_ptr<membership>> Create(membership_settings aSettings);
  virtual ~membership() = default;

  virtual const process_id& Self() const = 0;
  virtual const daemon_location& Location() const = 0;

  /// The daemons that are neither dead nor have left, this one included, sorted by process.
  /// Suspects count as live.
  virtual std::span<const member_update> Live() const = 0;

  /// False only when a process is known to be dead, has left or was replaced on its VM.
  virtual bool MayBeAlive(const process_id& aProcess) const = 0;

  /// Sets the document versions that this daemon's probes carry.
  virtual void SetDocuments(std::span<const document_version> aDocuments) = 0;

  virtual void OnTick(instant aNow, effect_list& aOut) = 0;
  /// Handles `probe_message` and `indirect_probe`; true when the message was one of these.
  virtual bool OnPeerRequestReceived(const peer_request_received& aPeerRequest,
                                     instant aNow,
                                     effect_list& aOut) = 0;
  /// Handles the end of a call; true when the call was issued by this object.
  virtual bool OnPeerResponse(const peer_response_received& aPeerResponse,
                              instant aNow,
                              effect_list& aOut) = 0;
  /// Uses the entry VMs of the list as seeds. A VM that is leaving or missing in the list does not
  /// by itself change the state of a member.
  virtual void OnVmList(const vm_list& aList, instant aNow) = 0;
  /// Announces to other daemons that this one leaves.
  virtual void OnShutdown(instant aNow, effect_list& aOut) = 0;

  /// A newer document version seen at a peer, with the address to pull it from.
  struct seen_document
  {
    document_version mDocument;
    std::string mAddress;
  };
  /// Returns the newer versions seen at peers since the last call.
  virtual std::vector<seen_document> TakeSeenDocuments() = 0;

  /// The highest version of a document that this live process has reported as in force, in its own
  /// probes and replies; empty before the first report. A value is at most about one round of
  /// probes old.
  virtual std::optional<std::uint64_t> ReportedVersion(const process_id& aProcess,
                                                       std::string_view aDocument) const = 0;
};

} // namespace skylarkwind
