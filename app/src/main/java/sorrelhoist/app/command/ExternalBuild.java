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
 * Another build of this program, loaded from its jar: replays recordings as that build decides. The
 * two builds share no classes and exchange bytes alone.
 */
final class ExternalBuild implements AutoCloseable {
    private static final String REPLAY_METHOD = "again";

    private final URLClassLoader loader;
    private final Method replayMethod;

    /**
     * Loads a build.
     *
     * @param jar the whole program, as bin/sorrelhoist builds it
     * @throws IOException if that is no jar, or holds no build that replays
     */
    ExternalBuild(Path jar) throws IOException {
        if (!Files.isRegularFile(jar)) {
            throw new IOException("--build: no jar there");
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
                    "--build: that jar holds no build that replays: " + e.getMessage(), e);
        }
    }

    /** {@return the same events with the actions that the other build decides} */
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
