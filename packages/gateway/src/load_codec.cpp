#include "load_codec_p.h"

#include "work.capnp.h"

#include <capnp/serialize.h>
#include <kj/exception.h>

#include <algorithm>
#include <cmath>
#include <cstring>
#include <limits>

namespace skylarkwind {

namespace {

/// First byte of a load report or load summary.
constexpr char kLoadTag = 'W';
/// The tag is followed by the 8-byte field that differs between receivers, then by the message
/// itself.
constexpr std::size_t kIncludedSequenceOffset = 1;
constexpr std::size_t kHeaderBytes = kIncludedSequenceOffset + sizeof(std::uint64_t);
/// Unit in which counts of added tokens are sent.
constexpr std::uint64_t kAddedTokensUnit = 64;
/// Limits on the words that a reader may traverse and on the nesting depth, so that a damaged
/// message cannot cause unbounded work.
constexpr std::uint64_t kTraversalLimitWords = 64 * 1'024;
constexpr int kNestingLimit = 8;

template<class narrow, class wide>
narrow
Clamp(wide aValue)
{
  return static_cast<narrow>(std::min<wide>(aValue, std::numeric_limits<narrow>::max()));
}

/// Slowdowns are sent on a logarithmic scale: kSlowdownOne stands for 1, and kSlowdownDoubling more
/// for twice as slow. Failure rates are sent in units of 1/kFailedScale; kEjectedCode marks an
/// ejected server.
constexpr double kSlowdownOne = 128;
constexpr double kSlowdownDoubling = 16;
constexpr double kFailedScale = 254;
constexpr std::uint8_t kEjectedCode = 255;

std::uint8_t
EncodeSlowdown(double aSlowdown)
{
  if (aSlowdown <= 0) {
    return 0;
  }
  return static_cast<std::uint8_t>(
    std::lround(std::clamp(kSlowdownOne + kSlowdownDoubling * std::log2(aSlowdown), 1.0, 255.0)));
}

double
DecodeSlowdown(std::uint8_t aByte)
{
  return aByte == 0 ? 0 : std::exp2((aByte - kSlowdownOne) / kSlowdownDoubling);
}

std::string
ToString(capnp::Text::Reader aText)
{
  return { aText.cStr(), aText.size() };
}

void
Write(const fleet_member& aMember, work_wire::Member::Builder aOut)
{
  aOut.setName(aMember.mName.c_str());
  aOut.setAddress(aMember.mAddress.c_str());
  aOut.setDataCentre(aMember.mDataCentre.c_str());
  aOut.setStrength(aMember.mCpuMillicores);
  aOut.setReachesStore(aMember.mReachesStore);
  aOut.setStart(aMember.mStart);
  aOut.setStops(aMember.mIsStopping);
}

fleet_member
Read(work_wire::Member::Reader aIn)
{
  return { ToString(aIn.getName()), ToString(aIn.getAddress()), ToString(aIn.getDataCentre()),
           aIn.getStrength(),       aIn.getReachesStore(),      aIn.getStart(),
           aIn.getStops() };
}

void
Write(const std::vector<dispatched_load>& aDispatchedLoad,
      capnp::List<work_wire::Work>::Builder aOut)
{
  for (unsigned int i = 0; i < aOut.size(); ++i) {
    const auto& work = aDispatchedLoad[i];
    aOut[i].setBackend(work.mBackend);
    aOut[i].setPrefillTokens(work.mPrefillTokens);
    aOut[i].setRunning(Clamp<std::uint16_t>(work.mRunning));
    // The count wraps around after 270 thousand million tokens; receivers treat a smaller count as
    // no growth.
    aOut[i].setAddedUnits(static_cast<std::uint32_t>(work.mAddedTokens / kAddedTokensUnit));
    aOut[i].setSlowdown(EncodeSlowdown(work.mSlowdown));
    const auto failed = std::lround(std::clamp(work.mFailureRatio, 0.0, 1.0) * kFailedScale);
    aOut[i].setFailed(work.mCircuitOpen ? kEjectedCode : static_cast<std::uint8_t>(failed));
  }
}

std::vector<dispatched_load>
Read(capnp::List<work_wire::Work>::Reader aIn)
{
  std::vector<dispatched_load> work;
  work.reserve(aIn.size());
  for (const auto entry : aIn) {
    work.push_back({ entry.getBackend(),
                     entry.getPrefillTokens(),
                     entry.getRunning(),
                     entry.getAddedUnits() * kAddedTokensUnit,
                     DecodeSlowdown(entry.getSlowdown()),
                     std::min(1.0, entry.getFailed() / kFailedScale),
                     entry.getFailed() == kEjectedCode });
  }
  return work;
}

void
Write(const std::vector<backend_statistics>& aRecords, capnp::List<work_wire::Record>::Builder aOut)
{
  for (unsigned int i = 0; i < aOut.size(); ++i) {
    const auto& record = aRecords[i];
    aOut[i].setBackend(record.mBackend);
    aOut[i].setAnswered(record.mOutcomes.mAnswered);
    aOut[i].setRefused(record.mOutcomes.mRefused);
    aOut[i].setFailed(record.mOutcomes.mFailed);
    aOut[i].setLost(record.mOutcomes.mLost);
    aOut[i].setSlowSum(record.mLogSlowdownSum);
    aOut[i].setSlowCount(record.mSlowdownCount);
  }
}

std::vector<backend_statistics>
Read(capnp::List<work_wire::Record>::Reader aIn)
{
  std::vector<backend_statistics> records;
  for (const auto entry : aIn) {
    // A sum that is not finite would corrupt every mean that includes it.
    if (std::isfinite(entry.getSlowSum())) {
      records.push_back(
        { entry.getBackend(),
          { entry.getAnswered(), entry.getRefused(), entry.getFailed(), entry.getLost() },
          entry.getSlowSum(),
          entry.getSlowCount() });
    }
  }
  return records;
}

void
Write(const backend_updates& aUpdates, work_wire::Facts::Builder aOut)
{
  auto segments = aOut.initKept(static_cast<unsigned int>(aUpdates.mCachedSegments.size()));
  for (unsigned int i = 0; i < segments.size(); ++i) {
    const auto& segment = aUpdates.mCachedSegments[i];
    segments[i].setKey(segment.mKey);
    segments[i].setBackend(segment.mBackend);
    segments[i].setComputed(segment.mComputed);
    segments[i].setReadyInMs(Clamp<std::uint16_t>(segment.mReadyInMs));
  }
  auto changing = aOut.initChanging(static_cast<unsigned int>(aUpdates.mRoleChanges.size()));
  for (unsigned int i = 0; i < changing.size(); ++i) {
    changing[i].setBackend(aUpdates.mRoleChanges[i].mBackend);
    changing[i].setLeftMs(aUpdates.mRoleChanges[i].mRemainingMs);
  }
  auto leaving = aOut.initLeaving(static_cast<unsigned int>(aUpdates.mLeaving.size()));
  for (unsigned int i = 0; i < leaving.size(); ++i) {
    leaving[i].setBackendId(aUpdates.mLeaving[i].mBackendId.c_str());
    leaving[i].setStartedAt(aUpdates.mLeaving[i].mStartedAt);
  }
}

backend_updates
Read(work_wire::Facts::Reader aIn)
{
  backend_updates updates;
  for (const auto segment : aIn.getKept()) {
    updates.mCachedSegments.push_back(
      { segment.getKey(), segment.getBackend(), segment.getComputed(), segment.getReadyInMs() });
  }
  for (const auto changing : aIn.getChanging()) {
    updates.mRoleChanges.push_back({ changing.getBackend(), changing.getLeftMs() });
  }
  for (const auto leaving : aIn.getLeaving()) {
    updates.mLeaving.push_back({ ToString(leaving.getBackendId()), leaving.getStartedAt() });
  }
  return updates;
}

void
Write(const store_revisions& aRevisions, work_wire::News::Builder aOut)
{
  aOut.setConfiguration(aRevisions.mConfiguration);
  aOut.setServers(aRevisions.mServers);
}

store_revisions
Read(work_wire::News::Reader aIn)
{
  return { aIn.getConfiguration(), aIn.getServers() };
}

void
Write(const load_report& aReport, work_wire::Message::Builder aMessage)
{
  auto out = aMessage.initReport();
  Write(aReport.mSender, out.initSender());
  out.setSequence(aReport.mSequence);
  Write(aReport.mStoreRevisions, out.initNews());
  Write(aReport.mDispatchedLoad,
        out.initWork(static_cast<unsigned int>(aReport.mDispatchedLoad.size())));
  Write(aReport.mRecords, out.initRecords(static_cast<unsigned int>(aReport.mRecords.size())));
  Write(aReport.mBackendUpdates, out.initFacts());
}

load_report
Read(work_wire::Report::Reader aIn)
{
  load_report report;
  report.mSender = Read(aIn.getSender());
  report.mSequence = aIn.getSequence();
  report.mStoreRevisions = Read(aIn.getNews());
  report.mDispatchedLoad = Read(aIn.getWork());
  report.mRecords = Read(aIn.getRecords());
  report.mBackendUpdates = Read(aIn.getFacts());
  return report;
}

void
Write(const load_summary& aSummary, work_wire::Message::Builder aMessage)
{
  auto out = aMessage.initSummary();
  Write(aSummary.mSender, out.initSender());
  out.setSequence(aSummary.mSequence);
  out.setWholeFleet(aSummary.mWholeFleet);
  out.setDaemons(aSummary.mDaemons);
  Write(aSummary.mStoreRevisions, out.initNews());
  Write(aSummary.mDispatchedLoad,
        out.initWork(static_cast<unsigned int>(aSummary.mDispatchedLoad.size())));
  Write(aSummary.mRecords, out.initRecords(static_cast<unsigned int>(aSummary.mRecords.size())));
  Write(aSummary.mBackendUpdates, out.initFacts());
  auto members = out.initMembers(static_cast<unsigned int>(aSummary.mMembers.size()));
  for (unsigned int i = 0; i < members.size(); ++i) {
    Write(aSummary.mMembers[i], members[i]);
  }
}

load_summary
Read(work_wire::Summary::Reader aIn)
{
  load_summary summary;
  summary.mSender = Read(aIn.getSender());
  summary.mSequence = aIn.getSequence();
  summary.mWholeFleet = aIn.getWholeFleet();
  summary.mDaemons = aIn.getDaemons();
  summary.mStoreRevisions = Read(aIn.getNews());
  summary.mDispatchedLoad = Read(aIn.getWork());
  summary.mRecords = Read(aIn.getRecords());
  summary.mBackendUpdates = Read(aIn.getFacts());
  for (const auto member : aIn.getMembers()) {
    summary.mMembers.push_back(Read(member));
  }
  return summary;
}

} // namespace

bool
IsLoadMessage(std::string_view aBytes)
{
  return !aBytes.empty() && aBytes.front() == kLoadTag;
}

std::string
EncodeLoad(const load_message& aMessage)
{
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<work_wire::Message>();
  std::visit([&root](const auto& aContent) { Write(aContent, root); }, aMessage);
  const auto words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asChars();
  std::string encoded(kHeaderBytes, '\0');
  encoded.front() = kLoadTag;
  encoded.append(bytes.begin(), bytes.size());
  return encoded;
}

void
SetIncludedSequence(std::string& aSummary, std::uint64_t aSequence)
{
  std::memcpy(aSummary.data() + kIncludedSequenceOffset, &aSequence, sizeof(aSequence));
}

std::optional<load_message>
DecodeLoad(std::string_view aBytes)
{
  if (!IsLoadMessage(aBytes) || aBytes.size() < kHeaderBytes + sizeof(capnp::word)) {
    return std::nullopt;
  }
  const auto content = aBytes.substr(kHeaderBytes);
  auto words = kj::heapArray<capnp::word>(content.size() / sizeof(capnp::word));
  std::memcpy(words.begin(), content.data(), words.size() * sizeof(capnp::word));
  std::optional<load_message> message;
  const auto damaged = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader{ words, { kTraversalLimitWords, kNestingLimit } };
    const auto root = reader.getRoot<work_wire::Message>();
    switch (root.which()) {
      case work_wire::Message::REPORT:
        message = Read(root.getReport());
        break;
      case work_wire::Message::SUMMARY: {
        auto summary = Read(root.getSummary());
        std::memcpy(&summary.mIncludedSequence,
                    aBytes.data() + kIncludedSequenceOffset,
                    sizeof(summary.mIncludedSequence));
        message = std::move(summary);
        break;
      }
    }
  });
  // The caller logs and drops malformed messages.
  return damaged == nullptr ? message : std::nullopt;
}

} // namespace skylarkwind
