#include "policy/credit_loans.h"

#include <algorithm>
#include <cassert>

namespace lovagecleat::policy {

namespace {

// No further loan is granted or requested once this many are open.
constexpr std::size_t kMaximumLent = 2048;
constexpr std::size_t kMaximumBorrowed = 2048;

std::uint32_t FreeCredits(const BorrowedCredits::Loan& loan) {
  return loan.amount - loan.returned - loan.in_use;
}

bool IsUsable(const BorrowedCredits::Loan& loan, Warmth warmth, TimePoint now) {
  if (now >= loan.usable_until || FreeCredits(loan) == 0) return false;
  return loan.required_warmth == Warmth::kCold || warmth == Warmth::kWarm;
}

}  // namespace

bool LentCredits::IsFull() const { return loans_.size() >= kMaximumLent; }

const LentCredits::Loan* LentCredits::Find(const LoanKey& key) const {
  const auto found = loans_.find(key);
  return found == loans_.end() ? nullptr : &found->second;
}

void LentCredits::Lend(const LoanKey& key, const Loan& loan) {
  assert(!IsFull());
  loans_.emplace(key, loan);
}

void LentCredits::Return(const LoanKey& key, std::uint32_t returned) {
  const auto found = loans_.find(key);
  if (found == loans_.end()) return;
  Loan& loan = found->second;
  loan.returned = std::clamp(returned, loan.returned, loan.amount);
  if (loan.returned == loan.amount) loans_.erase(found);
}

void LentCredits::Expire(TimePoint now) {
  std::erase_if(loans_, [now](const auto& entry) {
    return now >= entry.second.expires_at;
  });
}

std::uint32_t LentCredits::Outstanding(const ServerId& server) const {
  std::uint32_t sum = 0;
  for (const auto& [key, loan] : loans_) {
    if (loan.server == server) sum += loan.amount - loan.returned;
  }
  return sum;
}

std::optional<TimePoint> LentCredits::NextDue() const {
  std::optional<TimePoint> due;
  for (const auto& [key, loan] : loans_)
    due = std::min(due.value_or(loan.expires_at), loan.expires_at);
  return due;
}

bool BorrowedCredits::IsFull() const {
  return loans_.size() >= kMaximumBorrowed;
}

void BorrowedCredits::Add(std::uint64_t id, const Loan& loan) {
  assert(!IsFull());
  loans_.emplace(id, loan);
}

std::optional<std::uint64_t> BorrowedCredits::FindUsable(const ServerId& server,
                                                         Warmth warmth,
                                                         TimePoint now) const {
  for (const auto& [id, loan] : loans_) {
    if (loan.server == server && IsUsable(loan, warmth, now)) return id;
  }
  return std::nullopt;
}

std::uint32_t BorrowedCredits::CountUsable(const ServerId& server,
                                           Warmth warmth, TimePoint now) const {
  std::uint32_t sum = 0;
  for (const auto& [id, loan] : loans_) {
    if (loan.server == server && IsUsable(loan, warmth, now))
      sum += FreeCredits(loan);
  }
  return sum;
}

TimePoint BorrowedCredits::StartCall(std::uint64_t loan) {
  Loan& used = loans_.at(loan);
  assert(FreeCredits(used) > 0);
  ++used.in_use;
  return used.usable_until;
}

void BorrowedCredits::EndCall(std::uint64_t loan) {
  Loan& used = loans_.at(loan);
  assert(used.in_use > 0);
  --used.in_use;
}

void BorrowedCredits::ExpireLoans(const ServerId& server, TimePoint now) {
  for (auto& [id, loan] : loans_) {
    if (loan.server == server)
      loan.usable_until = std::min(loan.usable_until, now);
  }
}

std::vector<BorrowedCredits::Return> BorrowedCredits::TakeReturns(
    TimePoint now) {
  std::vector<Return> returns;
  for (auto& [id, loan] : loans_) {
    if (now < loan.usable_until || FreeCredits(loan) == 0) continue;
    loan.returned += FreeCredits(loan);
    returns.push_back({loan.lender, id, loan.server, loan.returned});
  }
  std::erase_if(loans_, [](const auto& entry) {
    return entry.second.returned == entry.second.amount;
  });
  return returns;
}

std::uint32_t BorrowedCredits::InUse(const ServerId& server) const {
  std::uint32_t sum = 0;
  for (const auto& [id, loan] : loans_) {
    if (loan.server == server) sum += loan.in_use;
  }
  return sum;
}

std::optional<TimePoint> BorrowedCredits::NextDue() const {
  std::optional<TimePoint> due;
  for (const auto& [id, loan] : loans_) {
    if (FreeCredits(loan) == 0) continue;
    due = std::min(due.value_or(loan.usable_until), loan.usable_until);
  }
  return due;
}

}  // namespace lovagecleat::policy
