#pragma once

#include "http_host.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// The object store of the users' platform in memory: objects by kind and name, one revision
/// counter, conditional writes, lists and watches.
/// `POST /standin/faults` sets {"mode": "none" | "busy" | "silent", "lose_answers": bool,
/// "drop_history": bool, "copy": {"without": [KIND, ...]}, "restore": bool}; `GET /standin/calls`
/// counts calls. "copy" keeps a copy of all objects but those of these kinds. "restore" goes back
/// to it, with its revision: the header `Store-Era` rises by one (absent: 0), the history begins
/// anew, and open watches are cut off.
/// `POST /standin/raw?kind=KIND&name=NAME` writes an object whose Spec is the body as it stands,
/// valid or not.
class store_double : public standin_app
{
public:
  void OnRequest(const standin_request& aRequest, standin_reply aReply) override;
  void OnTick() override;

private:
  struct change
  {
    std::uint64_t mAt = 0;
    std::string mKind;
    nlohmann::json mObject;
    bool mRemoved = false;
  };
  struct open_watch
  {
    std::string mKind;
    std::uint64_t mFrom = 0;
    std::int64_t mUntilMs = 0;
    standin_reply mReply;
  };

  void OnRaw(const standin_request& aRequest, const standin_reply& aReply);
  void OnFaults(const standin_request& aRequest, const standin_reply& aReply);
  void Restore();
  /// Answers a call to the store, with its era.
  void Answer(const standin_reply& aReply, int aStatus, std::string_view aBody) const;
  void OnObjects(const standin_request& aRequest, const standin_reply& aReply);
  void List(const std::string& aKind, const standin_request& aRequest, const standin_reply& aReply);
  void Write(const std::string& aKind,
             const std::string& aName,
             const standin_request& aRequest,
             const standin_reply& aReply);
  void Record(const std::string& aKind, const nlohmann::json& aObject, bool aRemoved);
  /// The value's text, with the raw texts in place of their markers.
  std::string Render(const nlohmann::json& aValue) const;
  /// Answers the watch if there is news for it.
  bool TryAnswer(const open_watch& aWatch) const;

  std::map<std::string, std::map<std::string, nlohmann::json>> mObjects;
  std::map<std::string, std::string>
    mRawSpecs; ///< by the marker that stands for each in its object
  std::uint64_t mRevision = 100;
  std::uint64_t mHistoryFrom = 100; ///< older revisions can't be watched
  std::vector<change> mHistory;
  std::uint64_t mEra = 0; ///< how often it was restored
  struct
  {
    std::map<std::string, std::map<std::string, nlohmann::json>> mObjects;
    std::uint64_t mRevision = 100;
  } mCopy;
  std::deque<open_watch> mWatches;
  std::string mMode = "none";
  bool mLoseAnswers = false;
  std::uint64_t mCalls = 0;
};

} // namespace skylarkwind
