#include "policy/loan_book.h"

#include <algorithm>
#include <cassert>

namespace lovagecleat::policy {

namespace {

// Beyond these no further loan is given or taken.
constexpr std::size_t kMaximumLent = 2048;
constexpr std::size_t kMaximumBorrowed = 2048;

std::uint32_t FreeOf(const BorrowedCredits::Loan& loan) {
  return loan.amount - loan.returned - loan.in_use;
}

bool IsUsable(const BorrowedCredits::Loan& loan, Warmth warmth, TimePoint now) {
  if (now >= loan.start_before || FreeOf(loan) == 0) return false;
  return loan.basis == Warmth::kCold || warmth == Warmth::kWarm;
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
  std::erase_if(
      loans_, [now](const auto& entry) { return now >= entry.second.back_at; });
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
    due = std::min(due.value_or(loan.back_at), loan.back_at);
  return due;
}

bool BorrowedCredits::IsFull() const {
  return loans_.size() >= kMaximumBorrowed;
}

void BorrowedCredits::Add(std::uint64_t id, const Loan& loan) {
  assert(!IsFull());
  loans_.emplace(id, loan);
}

std::optional<std::uint64_t> BorrowedCredits::FindFree(const ServerId& server,
                                                       Warmth warmth,
                                                       TimePoint now) const {
  for (const auto& [id, loan] : loans_) {
    if (loan.server == server && IsUsable(loan, warmth, now)) return id;
  }
  return std::nullopt;
}

std::uint32_t BorrowedCredits::Free(const ServerId& server, Warmth warmth,
                                    TimePoint now) const {
  std::uint32_t sum = 0;
  for (const auto& [id, loan] : loans_) {
    if (loan.server == server && IsUsable(loan, warmth, now))
      sum += FreeOf(loan);
  }
  return sum;
}

TimePoint BorrowedCredits::Use(std::uint64_t loan) {
  Loan& used = loans_.at(loan);
  assert(FreeOf(used) > 0);
  ++used.in_use;
  return used.start_before;
}

void BorrowedCredits::StopUse(std::uint64_t loan) {
  Loan& used = loans_.at(loan);
  assert(used.in_use > 0);
  --used.in_use;
}

void BorrowedCredits::End(const ServerId& server, TimePoint now) {
  for (auto& [id, loan] : loans_) {
    if (loan.server == server)
      loan.start_before = std::min(loan.start_before, now);
  }
}

std::vector<BorrowedCredits::Return> BorrowedCredits::TakeReturns(
    TimePoint now) {
  std::vector<Return> returns;
  for (auto& [id, loan] : loans_) {
    if (now < loan.start_before || FreeOf(loan) == 0) continue;
    loan.returned += FreeOf(loan);
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
    if (FreeOf(loan) == 0) continue;
    due = std::min(due.value_or(loan.start_before), loan.start_before);
  }
  return due;
}

}  // namespace lovagecleat::policy
