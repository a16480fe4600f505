import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The scripts of the review; the arguments are the name of the case and the file for its record.
 *
 * Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0
 * the case is played without its disruption.
 */
public final class Cases {
    private static final boolean IS_TROUBLED = !"0".equals(System.getenv("TROUBLE"));
    private static final int BROKEN = 1;
    private static final int COULD_NOT_RUN = 2;
    private static final long LONGEST_MILLIS = 115_000;

    /** The bound `finish_s`: how long after the end of the traffic jobs are asked for. */
    private static final long FINISH_MILLIS = 14_000;

    /** For how long a job may have nothing running while a task's turn has come. */
    private static final long IDLE_MILLIS = 3_000;

    /** After its last run, a task that lasts may be off for this long and [IDLE_MILLIS] more. */
    private static final long LASTING_GRACE_MILLIS = 6_000;

    /** By then the tasks of hopeless jobs have failed as often as they may, or wait for minions. */
    private static final long LASTING_FAILS_AFTER_MILLIS = 5_000;

    private interface Case {
        /** Returns what broke the rule, or an empty list. */
        List<String> play(Rig rig) throws Exception;
    }

    private static final Map<String, Case> CASES = Map.of(
        "many-ends", Cases::manyEnds,
        "foreign-entry", Cases::foreignEntry,
        "long-task", Cases::longTask,
        "hopeless-jobs", Cases::hopelessJobs,
        "large-gang", Cases::largeGang,
        "fuzz", Fuzz::play);

    public static void main(String[] arguments) {
        int exit = COULD_NOT_RUN;
        try (Rig rig = new Rig(Path.of(arguments[1]))) {
            Runtime.getRuntime().addShutdownHook(new Thread(rig::killDaemons));
            rig.later(LONGEST_MILLIS, () -> {
                System.out.println("couldn't run: it took too long");
                rig.killDaemons();
                Runtime.getRuntime().halt(COULD_NOT_RUN);
                return null;
            });
            List<String> broken = CASES.get(arguments[0]).play(rig);
            broken.stream().limit(5).forEach(line -> rig.record("BROKEN " + line));
            String result = broken.isEmpty() ? "the rule held" : broken.size() + " times broken";
            rig.record(result);
            System.out.println(result);
            broken.stream().limit(3).forEach(System.out::println);
            exit = broken.isEmpty() ? 0 : BROKEN;
        } catch (Exception e) {
            System.out.println("couldn't run: " + e);
        }
        Runtime.getRuntime().halt(exit);
    }

    private static String jobId(int number) {
        return String.format("%02x0e7a21d94b36f8", number);
    }

    private static void submit(Rig rig, String queue, String id, long workMillis, Map<String, Object> step)
        throws Exception {
        int status = rig.submit(queue, id, "work=" + workMillis + " ", List.of(step));
        if (status != 200) throw new Rig.CouldNotRun("job " + id + " was answered " + status);
    }

    /** The owner is killed, and more ends than one answer lists wait for the next one. */
    private static List<String> manyEnds(Rig rig) throws Exception {
        String job = jobId(0x5c);
        int count = 1_600;
        rig.configure(Map.of("small", 0));
        rig.addMinions(2, 32_000, 125_000, "a");
        rig.startDaemons(3);
        submit(rig, "small", job, 2_000, Rig.step(count, 30, 100, 2_000));
        rig.await("all tasks run", 15_000, () -> rig.startCount(job) >= count);
        if (IS_TROUBLED) rig.owner().kill();
        rig.waitFor(40_000, () -> rig.state("small", job).equals("completed"));
        Thread.sleep(1_000);
        return rig.doubledStarts();
    }

    /** Entries of another writer lie among those of the minions. */
    private static List<String> foreignEntry(Rig rig) throws Exception {
        rig.configure(Map.of("quick", 0));
        rig.addMinions(6, 32_000, 125_000, "a");
        for (int i = 0; IS_TROUBLED && i < Integer.getInteger("entries", 54); i++) {
            String id = String.format("i-%x%d", 0x3f + 0x10 * (i % 6), i / 6);
            rig.store.put("servers/" + id, Json.of(
                "service", "svc-elsewhere", "address", "127.0.3." + (i + 1) + ":0", "zone", Rig.ZONE,
                "version", 1, "slots", "none", "state", "ready",
                "capacity", Json.of("cpu", 1_000, "mem_mb", 1_000), "labels", List.of("a")));
        }
        rig.startDaemons(3);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            jobs.add(jobId(i));
            submit(rig, "quick", jobId(i), 800, Rig.step(6, 2_000, 2_000, 800));
        }
        Thread.sleep(FINISH_MILLIS + IDLE_MILLIS + 2_000);
        List<String> broken = new ArrayList<>();
        for (String job : jobs) {
            String state = rig.state("quick", job);
            if (!state.equals("completed")) {
                broken.add(job + " is " + state + " and has had " + rig.startCount(job) + " starts; no minion runs anything");
            }
        }
        return broken;
    }

    /** A task takes so long that its percentage changes only every four seconds. */
    private static List<String> longTask(Rig rig) throws Exception {
        String job = jobId(0x5c);
        rig.configure(Map.of("batch", 2));
        rig.addMinions(4, 32_000, 125_000, "a");
        rig.addMinions(1, 32_000, 125_000, "b");
        rig.startDaemons(3);
        long work = IS_TROUBLED ? 400_000 : 20_000;
        Map<String, Object> step = Rig.step(1, 4_000, 8_000, work);
        step.put("requires", "b");
        submit(rig, "batch", job, work, step);
        long submitted = Rig.now();
        Thread.sleep(FINISH_MILLIS + 35_000);
        rig.state("batch", job);
        List<String> broken = new ArrayList<>();
        Rig.Event end = null;
        for (Rig.Event event : rig.events()) {
            if (event.kind().equals("end")) end = event;
            if (!event.kind().equals("start") || end == null) continue;
            long from = Math.max(end.atMillis(), submitted + FINISH_MILLIS);
            if (event.atMillis() - from < IDLE_MILLIS) continue;
            broken.add(event.task() + " had nothing running from " + from + " to " + event.atMillis()
                + " ms, after run " + end.run() + " was told to stop; no other task was there");
        }
        return broken;
    }

    /** All tasks of two jobs fail, and later a task that is to last fails once, on a fleet that is idle otherwise. */
    private static List<String> hopelessJobs(Rig rig) throws Exception {
        String watch = jobId(0x5c);
        rig.configure(Map.of("watch", 0, "quick", 0));
        rig.addMinions(8, 32_000, 125_000, "a");
        rig.startDaemons(3);
        Map<String, Object> step = Rig.step(6, 6_400, 13_000, 420);
        step.put("long_running", true);
        submit(rig, "watch", watch, 1_000_000, step);
        for (int i = 0; i < 38; i++) submit(rig, "quick", jobId(i), 800, Rig.step(6, 3_100, 6_200, 800));
        rig.await("the sound jobs are done", 20_000, () -> rig.state("quick", jobId(37)).equals("completed"));
        Thread.sleep(2_000);
        for (int i = 0xf1; i <= 0xf2; i++) {
            if (IS_TROUBLED) rig.hopeless.add(jobId(i));
            submit(rig, "quick", jobId(i), 800, Rig.step(36, 3_100, 3_400, 800));
        }
        Thread.sleep(LASTING_FAILS_AFTER_MILLIS);
        String task = watch + ".0.0.0";
        Minion minion = rig.minions.stream().filter(m -> m.runs(task)).findFirst()
            .orElseThrow(() -> new Rig.CouldNotRun("the lasting task doesn't run"));
        minion.fail(task);
        rig.await("its run ends", 1_000, () -> !minion.runs(task));
        long failed = Rig.now();
        rig.waitFor(30_000, () -> rig.minions.stream().anyMatch(m -> m.runs(task)));
        long offMillis = Rig.now() - failed;
        rig.record(task + " was off for " + offMillis + " ms");
        if (offMillis < LASTING_GRACE_MILLIS + IDLE_MILLIS) return List.of();
        return List.of(task + " is to last and was off for " + offMillis + " ms after run 1 failed, with room on every minion");
    }

    /** A gang has more members than the owner starts within a second. */
    private static List<String> largeGang(Rig rig) throws Exception {
        String job = jobId(0x5c);
        rig.configure(Map.of("batch", 2));
        rig.addMinions(3, 32_000, 125_000, "a");
        rig.startDaemons(3);
        Map<String, Object> step = Rig.step(IS_TROUBLED ? 6_000 : 60, 15, 50, 2_000);
        step.put("gang", true);
        submit(rig, "batch", job, 2_000, step);
        rig.waitFor(30_000, () -> rig.state("batch", job).equals("completed"));
        List<String> broken = new ArrayList<>();
        for (Rig.Event event : rig.events()) {
            if (event.how().equals("alone")) broken.add(event.task() + " run " + event.run() + " ended alone on " + event.minion());
        }
        return broken;
    }
}
