#include "state_codec_p.h"

#include "bounded_cbor_p.h"
#include "change_batch_p.h"

#include "skylarkwind/hash.h"

#include <nlohmann/json.hpp>
#include <zstd.h>

#include <algorithm>
#include <bit>

namespace skylarkwind {

namespace {

using nlohmann::json;

/// First elements of an announcement and of a part, which no batch of changes begins with.
constexpr const char* kAnnouncementTag = "state";
/// Fast enough for a VM with a tenth of a core.
constexpr int kCompressionLevel = 3;
/// Limit of a state's text, which also bounds the memory that a damaged message can take.
constexpr std::size_t kMaxTextBytes = std::size_t{ 16 } * 1'024 * 1'024;

struct free_context
{
  void operator()(ZSTD_CCtx* aContext) const { ZSTD_freeCCtx(aContext); }
  void operator()(ZSTD_DCtx* aContext) const { ZSTD_freeDCtx(aContext); }
};

/// The window has to hold both texts, so that all of the earlier one can be referred to.
int
WindowLog(std::size_t aBytes)
{
  const auto bounds = ZSTD_cParam_getBounds(ZSTD_c_windowLog);
  return std::clamp(static_cast<int>(std::bit_width(aBytes)), 17, std::min(bounds.upperBound, 26));
}

std::string
Compress(std::string_view aText, std::string_view aBase)
{
  const std::unique_ptr<ZSTD_CCtx, free_context> context{ ZSTD_createCCtx() };
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kCompressionLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, WindowLog(aText.size() + aBase.size()));
  // Finds what the texts share at any distance, however long it is.
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, aBase.empty() ? 0 : 1);
  ZSTD_CCtx_refPrefix(context.get(), aBase.data(), aBase.size());
  std::string bytes(ZSTD_compressBound(aText.size()), '\0');
  const auto size =
    ZSTD_compress2(context.get(), bytes.data(), bytes.size(), aText.data(), aText.size());
  bytes.resize(ZSTD_isError(size) != 0U ? 0 : size);
  return bytes;
}

std::optional<std::string>
Decompress(std::string_view aBytes, std::string_view aBase, std::size_t aTextBytes)
{
  const std::unique_ptr<ZSTD_DCtx, free_context> context{ ZSTD_createDCtx() };
  ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, 27);
  ZSTD_DCtx_refPrefix(context.get(), aBase.data(), aBase.size());
  std::string text(aTextBytes, '\0');
  const auto size =
    ZSTD_decompressDCtx(context.get(), text.data(), text.size(), aBytes.data(), aBytes.size());
  return size == aTextBytes ? std::optional{ std::move(text) } : std::nullopt;
}

json
Bytes(std::string_view aText)
{
  return json::binary({ aText.begin(), aText.end() });
}

std::string
BytesOf(const json& aValue)
{
  const auto& bytes = aValue.get_binary();
  return { bytes.begin(), bytes.end() };
}

/// The state as an array; `aBytes` may be a part of its bytes.
json
StateFields(const encoded_state& aState)
{
  return { aState.mKind,         aState.mRevision,   aState.mNewestRevision, aState.mAfterOutage,
           aState.mBaseRevision, aState.mBaseDigest, aState.mDigest,         aState.mTextBytes,
           Bytes(aState.mBytes), aState.mId,         aState.mAge.count() };
}

/// Throws json::exception for other values.
encoded_state
StateOf(const json& aFields)
{
  encoded_state state;
  state.mKind = aFields.at(0).get<std::string>();
  state.mRevision = aFields.at(1).get<std::uint64_t>();
  state.mNewestRevision = aFields.at(2).get<std::uint64_t>();
  state.mAfterOutage = aFields.at(3).get<bool>();
  state.mBaseRevision = aFields.at(4).get<std::uint64_t>();
  state.mBaseDigest = aFields.at(5).get<std::string>();
  state.mDigest = aFields.at(6).get<std::string>();
  state.mTextBytes = aFields.at(7).get<std::size_t>();
  state.mBytes = BytesOf(aFields.at(8));
  state.mId = aFields.at(9).get<std::string>();
  state.mAge = std::chrono::milliseconds{ aFields.at(10).get<std::uint32_t>() };
  return state;
}

} // namespace

state_text
MakeStateText(const object_map& aObjects, std::uint64_t aRevision)
{
  change_batch batch;
  batch.mIsSnapshot = true;
  for (const auto& [name, object] : aObjects) {
    batch.mChanges.push_back({ object, false });
  }
  state_text state{ aRevision, EncodeBatch(batch), {} };
  state.mDigest = Sha256Hex(state.mText);
  return state;
}

std::optional<std::vector<stored_object>>
ParseStateText(std::string_view aText)
{
  auto batch = DecodeBatch(aText);
  if (!batch) {
    return std::nullopt;
  }
  std::vector<stored_object> objects;
  for (auto& change : batch->mChanges) {
    objects.push_back(std::move(change.mObject));
  }
  return objects;
}

encoded_state
EncodeState(std::string aKind, const state_text& aState, const state_text* aBase)
{
  encoded_state state;
  state.mKind = std::move(aKind);
  state.mRevision = aState.mRevision;
  state.mDigest = aState.mDigest;
  state.mTextBytes = aState.mText.size();
  if (aBase != nullptr) {
    state.mBaseRevision = aBase->mRevision;
    state.mBaseDigest = aBase->mDigest;
  }
  state.mBytes = Compress(aState.mText, aBase != nullptr ? std::string_view{ aBase->mText } : "");
  state.mId = Sha256Hex(state.mBytes);
  return state;
}

std::optional<std::string>
DecodeState(const encoded_state& aState, std::string_view aBase)
{
  if (aState.mTextBytes > kMaxTextBytes || Sha256Hex(aState.mBytes) != aState.mId) {
    return std::nullopt;
  }
  auto text = Decompress(aState.mBytes, aBase, aState.mTextBytes);
  return text && Sha256Hex(*text) == aState.mDigest ? std::move(text) : std::nullopt;
}

std::string
EncodeAnnouncement(const state_announcement& aAnnouncement)
{
  return ToCbor({ kAnnouncementTag,
                  StateFields(aAnnouncement.mState),
                  aAnnouncement.mAddress,
                  aAnnouncement.mForwarded });
}

std::optional<state_announcement>
DecodeAnnouncement(std::string_view aBytes)
{
  const auto parsed = ParseCbor(aBytes);
  try {
    if (parsed.at(0) != kAnnouncementTag) {
      return std::nullopt;
    }
    return state_announcement{ StateOf(parsed.at(1)),
                               parsed.at(2).get<std::string>(),
                               parsed.at(3).get<bool>() };
  } catch (const json::exception&) {
    // The caller logs and drops malformed messages.
    return std::nullopt;
  }
}

std::string
EncodePartRequest(const part_request& aRequest)
{
  return ToCbor({ aRequest.mKind,
                  aRequest.mBaseRevision,
                  aRequest.mBaseDigest,
                  aRequest.mLeastRevision,
                  aRequest.mEncoding,
                  aRequest.mOffset,
                  aRequest.mBytes,
                  aRequest.mReceiver });
}

std::optional<part_request>
DecodePartRequest(std::string_view aBytes)
{
  const auto parsed = ParseCbor(aBytes);
  try {
    return part_request{ parsed.at(0).get<std::string>(), parsed.at(1).get<std::uint64_t>(),
                         parsed.at(2).get<std::string>(), parsed.at(3).get<std::uint64_t>(),
                         parsed.at(4).get<std::string>(), parsed.at(5).get<std::size_t>(),
                         parsed.at(6).get<std::size_t>(), parsed.at(7).get<std::string>() };
  } catch (const json::exception&) {
    // The caller answers that the request is malformed.
    return std::nullopt;
  }
}

std::string
EncodePartResponse(const part_response& aResponse)
{
  return ToCbor({ static_cast<int>(aResponse.mOutcome),
                  StateFields(aResponse.mState),
                  aResponse.mOffset,
                  aResponse.mTotalBytes,
                  aResponse.mOthers });
}

std::optional<part_response>
DecodePartResponse(std::string_view aBytes)
{
  const auto parsed = ParseCbor(aBytes);
  try {
    part_response response;
    const auto outcome = parsed.at(0).get<int>();
    if (outcome < 0 || outcome > static_cast<int>(part_response::outcome::Same)) {
      return std::nullopt;
    }
    response.mOutcome = static_cast<part_response::outcome>(outcome);
    response.mState = StateOf(parsed.at(1));
    response.mOffset = parsed.at(2).get<std::size_t>();
    response.mTotalBytes = parsed.at(3).get<std::size_t>();
    response.mOthers = parsed.at(4).get<std::vector<std::string>>();
    return response;
  } catch (const json::exception&) {
    // The caller treats the response as a failure.
    return std::nullopt;
  }
}

} // namespace skylarkwind
