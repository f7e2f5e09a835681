package sorrelhoist.app.command;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import sorrelhoist.core.record.CorruptRecordException;
import sorrelhoist.core.record.Recording;
import sorrelhoist.core.record.Replay;

/**
 * Another build of this program, loaded from its jar, to replay recordings with that build's
 * decisions. The two builds share no classes and exchange only bytes.
 */
final class ExternalBuild implements AutoCloseable {
    private static final String REPLAY_METHOD = "again";

    private final URLClassLoader loader;
    private final Method replayMethod;

    /**
     * Loads a build.
     *
     * @param jar the jar of the complete program, as built by bin/sorrelhoist
     * @throws IOException if the file is no jar, or contains no build that can replay recordings
     */
    ExternalBuild(Path jar) throws IOException {
        if (!Files.isRegularFile(jar)) {
            throw new IOException("--build: no such jar file");
        }
        loader =
                new URLClassLoader(
                        new URL[] {jar.toUri().toURL()}, ClassLoader.getPlatformClassLoader());
        try {
            replayMethod =
                    loader.loadClass(Replay.class.getName()).getMethod(REPLAY_METHOD, byte[].class);
        } catch (ReflectiveOperationException e) {
            loader.close();
            throw new IOException(
                    "--build: the jar contains no build that can replay: " + e.getMessage(), e);
        }
    }

    /** {@return a recording of the same events with the other build's actions} */
    Recording replay(Recording recording) throws IOException {
        try {
            byte[] replayed = (byte[]) replayMethod.invoke(null, recording.toFileBytes());
            return Recording.of(List.of(replayed));
        } catch (InvocationTargetException e) {
            throw new IOException(
                    "--build: that build cannot read this record: " + e.getCause().getMessage(), e);
        } catch (ReflectiveOperationException | CorruptRecordException e) {
            throw new IOException("--build: " + e.getMessage(), e);
        }
    }

    @Override
    public void close() throws IOException {
        loader.close();
    }
}
