//! The fair queue gives each team its weighted share and loses no request.

use std::time::{Duration, Instant};

use rstest::rstest;
use slotmap::SlotMap;
use snipevane_core::ids::TeamKey;
use snipevane_core::shares::{FairQueue, QueueSettings, WaitingRequest};
use snipevane_proto::manifest::Urgency;

const HOUR: Duration = Duration::from_secs(3600);

fn teams(count: usize) -> Vec<TeamKey> {
    let mut keys = SlotMap::with_key();
    (0..count).map(|_| keys.insert(())).collect()
}

fn waiting(team: TeamKey, urgency: Urgency, start_by: Instant, item: u32) -> WaitingRequest<u32> {
    WaitingRequest {
        team,
        urgency,
        start_by,
        item,
    }
}

fn queue() -> FairQueue<u32> {
    FairQueue::new(QueueSettings::default())
}

/// Counts the starts of each team on one slot, with requests of 100 ms.
///
/// Each team always has waiting requests; `shares` holds the teams' weights.
fn starts_of_each(shares: &[u32], urgency: Urgency, starts: usize) -> Vec<usize> {
    let start = Instant::now();
    let keys = teams(shares.len());
    let mut queue = queue();
    for (&team, &share) in keys.iter().zip(shares) {
        queue.set_weight(team, share);
        for _ in 0..2 {
            let request = waiting(team, urgency, start + HOUR, 0);
            assert!(queue.push(request, start).is_ok());
        }
    }
    let mut counts = vec![0; shares.len()];
    for n in 0..starts {
        let now = start + Duration::from_millis(100 * n as u64);
        let Some(next) = queue.pop(now, |_| true) else {
            break;
        };
        let later = now + Duration::from_millis(100);
        queue.charge(next.team, 0.1, later);
        for (count, &team) in counts.iter_mut().zip(&keys) {
            *count += usize::from(team == next.team);
        }
        let request = waiting(next.team, urgency, start + HOUR, 0);
        assert!(queue.push(request, later).is_ok());
    }
    counts
}

#[rstest]
#[case::urgent(Urgency::Urgent)]
#[case::normal(Urgency::Normal)]
fn starts_follow_the_shares(#[case] urgency: Urgency) {
    let counts = starts_of_each(&[4, 2, 1, 1], urgency, 800);
    for (count, part) in counts.iter().zip([400, 200, 100, 100]) {
        assert!(count.abs_diff(part) <= 8, "{counts:?}");
    }
}

#[test]
fn urgent_goes_first_and_overnight_last() {
    let now = Instant::now();
    let team = teams(1)[0];
    let mut queue = queue();
    for (item, urgency) in [Urgency::Overnight, Urgency::Normal, Urgency::Urgent]
        .into_iter()
        .enumerate()
    {
        let request = waiting(team, urgency, now + HOUR, item as u32);
        queue.push(request, now).unwrap();
    }
    let order: Vec<u32> = std::iter::from_fn(|| queue.pop(now, |_| true))
        .map(|next| next.item)
        .collect();
    assert_eq!(order, [2, 1, 0]);
}

#[test]
fn overnight_work_starts_at_its_latest_start_time() {
    let start = Instant::now();
    let keys = teams(2);
    let mut queue = queue();
    let overnight = waiting(keys[0], Urgency::Overnight, start + HOUR, 7);
    queue.push(overnight, start).unwrap();
    let mut started = None;
    for second in 0..=3600 {
        let now = start + Duration::from_secs(second);
        let request = waiting(keys[1], Urgency::Normal, now + HOUR, 0);
        queue.push(request, now).unwrap();
        assert!(queue.expire(now).is_empty());
        let next = queue.pop(now, |_| true).unwrap();
        queue.charge(next.team, 1.0, now);
        if next.item == 7 {
            started = Some(second);
        }
    }
    let started = started.unwrap();
    assert!((3590..=3600).contains(&started), "{started}");
}

#[test]
fn a_late_request_is_refused_and_never_started() {
    let start = Instant::now();
    let team = teams(1)[0];
    let mut queue = queue();
    let late = start + Duration::from_secs(1);
    queue
        .push(waiting(team, Urgency::Normal, late, 1), start)
        .unwrap();
    queue
        .push(waiting(team, Urgency::Normal, start + HOUR, 2), start)
        .unwrap();
    assert_eq!(queue.next_expiry(), Some(late));
    let now = start + Duration::from_secs(2);
    assert_eq!(queue.pop(now, |_| true).unwrap().item, 2);
    assert_eq!(queue.expire(now), [1]);
    assert!(queue.is_empty());
}

#[test]
fn a_team_at_its_limit_is_passed_over_until_it_is_charged() {
    let now = Instant::now();
    let keys = teams(2);
    let mut queue = queue();
    for &team in &keys {
        let request = waiting(team, Urgency::Normal, now + HOUR, 0);
        queue.push(request, now).unwrap();
    }
    let next = queue.pop(now, |team| team == keys[1]).unwrap();
    assert_eq!(next.team, keys[1]);
    assert!(queue.pop(now, |_| true).is_none());
    queue.charge(keys[0], 1.0, now);
    assert_eq!(queue.pop(now, |_| true).unwrap().team, keys[0]);
}

#[test]
fn pop_where_starts_a_request_whose_team_is_at_its_limit() {
    let now = Instant::now();
    let team = teams(1)[0];
    let mut queue = queue();
    let forwarded = 7;
    queue
        .push(waiting(team, Urgency::Normal, now + HOUR, forwarded), now)
        .unwrap();
    let next = queue.pop_where(now, |waiting| waiting.item == forwarded);
    assert_eq!(next.unwrap().item, forwarded);
}

#[test]
fn one_teams_backlog_leaves_room_for_the_others() {
    let now = Instant::now();
    let keys = teams(2);
    let mut queue: FairQueue<u32> = FairQueue::new(QueueSettings {
        max_waiting: 100,
        unrestricted_percent: 60,
        ..QueueSettings::default()
    });
    let mut push = |team| queue.push(waiting(team, Urgency::Normal, now + HOUR, 0), now);
    // A team alone may fill the queue. Once another team waits, each is limited to its share above
    // `unrestricted_percent`.
    assert!(push(keys[1]).is_ok());
    let filled = (0..100).filter(|_| push(keys[0]).is_ok()).count();
    assert_eq!(filled, 59);
    let others = (0..100).filter(|_| push(keys[1]).is_ok()).count();
    assert_eq!(others, 40);
    let refusal = push(keys[0]).unwrap_err();
    // 59 requests wait, the team gets half of the starts, and without any start seen the interval
    // between two starts is taken as 0.1 s.
    assert_eq!(refusal.retry_after, Duration::from_secs(12));
}

#[test]
fn a_cancelled_request_never_starts() {
    let now = Instant::now();
    let team = teams(1)[0];
    let mut queue = queue();
    let key = queue
        .push(waiting(team, Urgency::Normal, now + HOUR, 1), now)
        .unwrap();
    assert_eq!(queue.cancel(key).unwrap().item, 1);
    assert!(queue.cancel(key).is_none());
    assert!(queue.pop(now, |_| true).is_none());
}
