#pragma once

#include "skylarkwind/front.h"
#include "skylarkwind/node.h"

#include <string>

namespace skylarkwind {

/// What the daemon answers by itself: health, counters, models and the operators' views.
class admin
{
public:
  admin(const node& aNode,
        const counters& aCounters,
        counter& aRefused,
        std::string aOperatorCredentialSha256);

  local_answer Answer(const local_request& aRequest, instant aNow, std::size_t aOpenRequests) const;

private:
  local_answer AnswerOperator(const std::string& aPath,
                              instant aNow,
                              std::size_t aOpenRequests) const;
  local_answer Models(const std::string& aBearer) const;
  local_answer Status(instant aNow, std::size_t aOpenRequests) const;
  local_answer Engine(const std::string& aName) const;
  local_answer Table() const;
  local_answer Audit() const;

  const node& mNode;
  const counters& mCounters;
  counter& mRefused;
  std::string mOperatorCredentialSha256;
};

} // namespace skylarkwind
