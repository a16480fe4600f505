import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Random jobs of every kind under random trouble: owners that are killed, frozen and stopped, minions
 * that crash under a new or the same ID, are cut off or carry out orders late.
 *
 * No case of the review; the system properties `seed` and `modes` choose what is played.
 */
final class Fuzz {
    record Job(String id, List<Map<String, Object>> steps, int repeat, long start, long interval) {}

    static List<String> play(Rig rig) throws Exception {
        long seed = Long.getLong("seed", 1);
        Random random = new Random(seed);
        String modes = System.getProperty("modes", "kill,stop,term,crash,same,cut,late");
        rig.guards = random.nextBoolean();
        rig.failShare = 0.03;
        rig.configure(Map.of("quick", 0, "batch", 2));
        rig.addMinions(4, 32_000, 125_000, "a");
        rig.addMinions(2, 32_000, 125_000, "b");
        rig.startDaemons(3);
        rig.record("seed " + seed + " guards " + rig.guards);
        Map<String, Job> jobs = new LinkedHashMap<>();
        List<String> accepted = new ArrayList<>();
        long end = Rig.now() + 45_000;
        long nextTrouble = Rig.now() + 2_000;
        String[] mode = modes.split(",");
        while (Rig.now() < end) {
            String id = String.format("%016x", random.nextLong());
            List<Map<String, Object>> steps = new ArrayList<>();
            int count = 1 + random.nextInt(3);
            for (int i = 0; i < count; i++) {
                int tasks = 1 + random.nextInt(6);
                Map<String, Object> step = Rig.step(tasks, 1_000 + random.nextInt(6_000), 1_000 + random.nextInt(8_000), 800);
                if (i > 0) step.put("after", List.of(i - 1));
                switch (random.nextInt(6)) {
                    case 0: if (tasks > 1) step.put("gang", true); break;
                    case 1: step.put("requires", "b"); break;
                    case 2: step.put("anti_affinity", 2); break;
                    default:
                }
                steps.add(step);
            }
            Map<String, Object> more = new HashMap<>();
            Job job = new Job(id, steps, 0, 0, 0);
            if (random.nextInt(4) == 0) {
                long start = System.currentTimeMillis() + random.nextInt(2_000);
                long interval = 300 + random.nextInt(1_500);
                int repeat = 2 + random.nextInt(4);
                more.put("repeat_count", repeat);
                more.put("start_at_ms", start);
                more.put("interval_ms", interval);
                job = new Job(id, steps, repeat, start, interval);
            }
            jobs.put(id, job);
            int work = 100 + random.nextInt(random.nextInt(5) == 0 ? 6_000 : 1_200);
            if (rig.submit(random.nextBoolean() ? "quick" : "batch", id, "work=" + work + " ", steps, more) == 200) accepted.add(id);
            if (Rig.now() > nextTrouble && Rig.now() < end - 6_000) {
                nextTrouble = Rig.now() + 1_500 + random.nextInt(5_000);
                trouble(rig, random, mode[random.nextInt(mode.length)]);
            }
            Thread.sleep(100 + random.nextInt(250));
        }
        rig.record("end of traffic");
        for (Minion minion : rig.minions) minion.lateShare = 0;
        List<String> broken = new ArrayList<>(rig.notes);
        rig.waitFor(40_000, () -> accepted.stream().allMatch(id -> List.of("completed", "failed").contains(rig.state("quick", id))));
        for (String id : accepted) {
            String state = rig.state("quick", id);
            if (!state.equals("completed")) broken.add(id + " is " + state);
        }
        broken.addAll(rig.doubledStarts());
        broken.addAll(order(rig, jobs));
        return broken;
    }

    private static void trouble(Rig rig, Random random, String mode) throws Exception {
        Rig.Daemon owner = rig.ownerOrNull();
        Minion minion = rig.minions.get(random.nextInt(rig.minions.size()));
        long time = 300 + random.nextInt(4_000);
        switch (mode) {
            case "kill":
                if (owner == null || !owner.isRunning()) return;
                owner.kill();
                rig.later(time, () -> { owner.start(); return null; });
                break;
            case "stop":
                if (owner == null || !owner.isRunning()) return;
                owner.signal("STOP");
                rig.later(1_000 + random.nextInt(9_000), () -> { if (owner.isRunning()) owner.signal("CONT"); return null; });
                break;
            case "term":
                if (owner == null || !owner.isRunning()) return;
                owner.signal("TERM");
                rig.later(6_500, () -> { if (!owner.isRunning()) owner.start(); return null; });
                break;
            case "crash":
            case "same":
                if (!minion.isUp()) return;
                String old = minion.id;
                minion.crash();
                if (mode.equals("same")) {
                    rig.later(time, () -> { minion.startAs(old); return null; });
                } else {
                    rig.later(2_100 + time, () -> { rig.store.delete("servers/" + old); minion.start(); return null; });
                }
                break;
            case "cut":
                minion.isCut = true;
                rig.record("cut " + minion.id);
                rig.later(1_000 + random.nextInt(10_000), () -> { minion.isCut = false; rig.record("back " + minion.id); return null; });
                break;
            case "late":
                minion.lateShare = 0.3;
                rig.later(4_000, () -> { minion.lateShare = 0; return null; });
                break;
            default:
        }
    }

    /** Starts before their time, or before the steps that they wait for. */
    private static List<String> order(Rig rig, Map<String, Job> jobs) {
        List<String> broken = new ArrayList<>();
        Map<String, Set<String>> done = new HashMap<>();
        long offset = System.currentTimeMillis() - Rig.now();
        for (Rig.Event event : rig.events()) {
            if (event.task().isEmpty()) continue;
            String[] parts = event.task().split("\\.");
            Job job = jobs.get(parts[0]);
            if (event.kind().equals("end") && event.how().equals("done")) {
                Map<String, Object> step = job.steps().get(Integer.parseInt(parts[2]));
                String key = parts[0] + "." + parts[1] + "." + parts[2];
                Set<String> tasks = done.computeIfAbsent(key, k -> new HashSet<>());
                if (step.containsKey("gang")) {
                    for (int i = 0; i < (Integer) step.get("count"); i++) tasks.add("" + i);
                } else {
                    tasks.add(parts[3]);
                }
            }
            if (!event.kind().equals("start")) continue;
            int number = Integer.parseInt(parts[2]);
            if (number > 0) {
                String key = parts[0] + "." + parts[1] + "." + (number - 1);
                int count = (Integer) job.steps().get(number - 1).get("count");
                if (done.getOrDefault(key, Set.of()).size() < count) broken.add("ORDER " + event);
            }
            if (job.repeat() > 0) {
                long due = job.start() + Integer.parseInt(parts[1]) * job.interval();
                if (event.atMillis() + offset < due - 250) broken.add("EARLY " + event);
            }
        }
        return broken;
    }
}
