#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkwind {

/// What is wrong with a message.
struct framing_error
{
  unsigned int mStatus = 0; ///< of the response to a request: 400, 501 or 505
  std::string mReason;
  bool mInHead = false; ///< whether nothing of the message has been passed on
};

/// Finds the ends of the HTTP/1.x messages that arrive on one connection, by the rules of RFC 9112,
/// sections 5 to 7, and rewrites their heads and chunks. The HTTP library, which reads what has
/// been rewritten, has rules of its own: it prefers chunks to a length, takes a negative length,
/// and computes the sizes of chunks modulo 2^64. The rest of a body would then be the next message.
///
/// A message that another recipient could take to end elsewhere is an error. What is valid is
/// rewritten as far as the library cannot read it: white space around the values of headers,
/// extensions of chunks, and trailers, which are left out. Folded lines are joined in responses and
/// an error in requests.
class message_framing
{
public:
  static message_framing OfRequests() { return message_framing{ direction::Requests }; }
  static message_framing OfResponses() { return message_framing{ direction::Responses }; }

  /// Expects the response to a request that has been sent. Without it, bytes are no message and are
  /// left as they are.
  void ExpectResponse(bool aToHead);

  /// Reads input up to the end of a message and appends what the library is to read. Returns how
  /// many bytes of the input were taken; fewer than all only at the end of a message or for an
  /// error. An incomplete head is kept, and nothing is appended.
  std::size_t Read(std::string_view aInput, std::string& aOutput);
  /// How many of the next `aBytes` bytes may be passed on unread. They are taken by `Skip`.
  std::size_t Verbatim(std::size_t aBytes) const;
  void Skip(std::size_t aBytes);

  /// Whether a message is expected and nothing of it has arrived.
  bool AtStart() const { return mStep == step::Start; }
  bool InHead() const { return mStep == step::Head; }
  /// Whether the last response has arrived whole, with its trailers, and none is expected.
  bool Complete() const { return mStep == step::Unexpected; }
  const std::optional<framing_error>& Error() const { return mError; }

private:
  enum class direction
  {
    Requests,
    Responses
  };
  enum class step
  {
    Start,
    Head,
    FixedBody,
    BodyToClose, ///< the body ends with the connection
    ChunkSize,
    ChunkData,
    ChunkEnd,
    Trailers,
    Unexpected ///< no message is expected
  };
  /// A head while it is rewritten.
  struct rewritten_head
  {
    std::string mText; ///< without the headers that frame the body
    bool mHttp10 = false;
    bool mCanFold = false;                ///< whether a folded line may continue the last header
    std::optional<std::uint64_t> mLength; ///< Content-Length
    std::optional<std::string> mCodings;  ///< Transfer-Encoding, joined by commas
  };

  explicit message_framing(direction aDirection);

  std::size_t ReadStep(std::string_view aInput, std::string& aOutput);
  std::size_t ReadLine(std::string_view aInput, std::string& aOutput);
  std::size_t ReadData(std::string_view aInput, std::string& aOutput);
  std::size_t ReadChunkEnd(std::string_view aInput, std::string& aOutput);
  void OnLine(std::string& aOutput);
  void OnHeadLine(std::string_view aLine, std::string& aOutput);
  void OnChunkSize(std::string_view aLine, std::string& aOutput);
  void OnTrailer(std::string_view aLine, std::string& aOutput);
  void OnHead(std::string& aOutput);
  bool ReadRequestLine(std::string_view aLine, rewritten_head& aHead);
  bool ReadStatusLine(std::string_view aLine, rewritten_head& aHead);
  bool ReadVersion(std::string_view aVersion, rewritten_head& aHead);
  bool ReadHeader(std::string_view aLine, rewritten_head& aHead);
  bool ReadFolded(std::string_view aLine, rewritten_head& aHead);
  bool ReadLength(std::string_view aValue, rewritten_head& aHead);
  bool CheckCodings(const rewritten_head& aHead);
  void BeginBody(const rewritten_head& aHead);
  bool HasNoBody() const;
  void EndMessage();
  /// Charges bytes that carry no data of a body. False when a message has too many.
  bool ChargeExtra(std::size_t aBytes);
  /// Sets the error. Always false.
  bool Fail(std::string aReason, unsigned int aStatus = 400);

  direction mDirection;
  step mStep;
  std::string mText;             ///< the head, or else the line, as far as it has arrived
  std::size_t mLineBegin = 0;    ///< of the last line in `mText`
  std::uint64_t mRemaining = 0;  ///< bytes of the body or the chunk
  std::uint64_t mDataBytes = 0;  ///< in the chunks of the message so far
  std::uint64_t mExtraBytes = 0; ///< of extensions and trailers of the message so far
  unsigned int mStatus = 0;      ///< of the response
  bool mToHead = false;          ///< whether the response is one to HEAD
  std::optional<framing_error> mError;
};

} // namespace skylarkwind
