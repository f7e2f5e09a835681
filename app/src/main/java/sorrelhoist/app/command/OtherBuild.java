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
 * Another build of this program, from its jar: says what it would have decided. The two have only
 * bytes in common.
 */
final class OtherBuild implements AutoCloseable {
    private final URLClassLoader loader;
    private final Method again;

    /**
     * Loads it.
     *
     * @param jar the whole program, as bin/sorrelhoist builds it
     */
    OtherBuild(Path jar) throws IOException {
        if (!Files.isRegularFile(jar)) {
            throw new IOException("--build: no jar there");
        }
        loader =
                new URLClassLoader(
                        new URL[] {jar.toUri().toURL()}, ClassLoader.getPlatformClassLoader());
        try {
            again = loader.loadClass(Replay.class.getName()).getMethod("again", byte[].class);
        } catch (ReflectiveOperationException e) {
            loader.close();
            throw new IOException(
                    "--build: that jar holds no build that replays: " + e.getMessage());
        }
    }

    /** {@return the same events with what that build says to them} */
    Recording again(Recording tape) throws IOException {
        try {
            return Recording.of(List.of((byte[]) again.invoke(null, (Object) tape.toFileBytes())));
        } catch (InvocationTargetException e) {
            throw new IOException(
                    "--build: that build cannot read this record: " + e.getCause().getMessage());
        } catch (ReflectiveOperationException | CorruptRecordException e) {
            throw new IOException("--build: " + e.getMessage());
        }
    }

    @Override
    public void close() throws IOException {
        loader.close();
    }
}
